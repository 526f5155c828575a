"""The `(limits ...)` part of a service's terms."""

from dataclasses import dataclass

from ironfall import words
from ironfall.words import SECOND, Facts, Form

NUMBERS = 65_535  # that a director has for its proxies


@dataclass(frozen=True)
class Limits:
    """Bounds on what peers may ask of a director, each with an answer of its own when it is met (docs/api.md)."""

    sessions: int = 2_000
    joining: int = 300  # joined, and their first poll has not come: more are asked to come later
    held: int = 12_000  # connections at once
    body: int = 256 * 1024
    header_time: int = 2 * SECOND  # for a whole request to come in
    idle: int = 60 * SECOND  # a connection without a request
    write_time: int = 3 * SECOND  # a reader slower than that is cut
    wait: int = 20 * SECOND  # the longest a poll is held
    lapse: int = 4 * SECOND  # a session without a poll and without a held one ends after it
    polls: int = 40  # polls a second of one session, over a burst of twice that
    events: int = 20_000  # waiting for a turn
    versions: int = 2_000  # history kept for deltas
    entries: int = 50_000  # changed lines kept for deltas


def read_limits(form: Form, facts: Facts) -> Limits:
    usual = Limits()
    return Limits(
        sessions=form.get("sessions", words.count, usual.sessions),
        joining=form.get("joining", words.count, usual.joining),
        held=form.get("connections", words.count, usual.held),
        body=form.get("body", words.size, usual.body),
        header_time=form.get("request-time", words.time, usual.header_time),
        idle=form.get("idle", words.time, usual.idle),
        write_time=form.get("write-time", words.time, usual.write_time),
        wait=form.get("wait", words.time, usual.wait),
        lapse=form.get("lapse", words.time, usual.lapse),
        polls=form.get("polls", words.count, usual.polls),
        events=form.get("events", words.count, usual.events),
        versions=form.get("versions", words.count, usual.versions),
        entries=form.get("entries", words.count, usual.entries),
    )
