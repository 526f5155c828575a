"""The `(limits ...)` section of a service's settings."""

from dataclasses import dataclass

from ironfall import words
from ironfall.words import SECOND, Facts, Form

NUMBERS = 65_535
"""The most numbers that a director can assign to proxies."""


@dataclass(frozen=True)
class Limits:
    """Limits on what a director's clients may request; docs/api.md has the answer at each.

    Times are in tenths of a millisecond, sizes in bytes.

    Attributes:
        sessions: Sessions of proxies.
        joining: Sessions that have not polled yet; further proxies are asked to join later.
        held: Open connections.
        body: Size of a request's body.
        header_time: Time for a complete request to arrive.
        idle: Time that a connection may stay without a request.
        write_time: Time for a client to read an answer, after which its connection is closed.
        wait: The longest that a poll is held open.
        lapse: Time without a poll, and without one held open, after which a session ends.
        polls: Polls per second of one session; a burst may have twice as many.
        events: Events that wait for the event loop.
        versions: Table versions kept for deltas.
        entries: Changed table entries kept for deltas.
    """

    sessions: int = 2_000
    joining: int = 300
    held: int = 12_000
    body: int = 256 * 1024
    header_time: int = 2 * SECOND
    idle: int = 60 * SECOND
    write_time: int = 3 * SECOND
    wait: int = 20 * SECOND
    lapse: int = 4 * SECOND
    polls: int = 40
    events: int = 20_000
    versions: int = 2_000
    entries: int = 50_000


def read_limits(form: Form, _facts: Facts) -> Limits:
    """Reads the section; keys that are absent have the defaults of `Limits`."""
    defaults = Limits()
    return Limits(
        sessions=form.get("sessions", words.count, defaults.sessions),
        joining=form.get("joining", words.count, defaults.joining),
        held=form.get("connections", words.count, defaults.held),
        body=form.get("body", words.size, defaults.body),
        header_time=form.get("request-time", words.time, defaults.header_time),
        idle=form.get("idle", words.time, defaults.idle),
        write_time=form.get("write-time", words.time, defaults.write_time),
        wait=form.get("wait", words.time, defaults.wait),
        lapse=form.get("lapse", words.time, defaults.lapse),
        polls=form.get("polls", words.count, defaults.polls),
        events=form.get("events", words.count, defaults.events),
        versions=form.get("versions", words.count, defaults.versions),
        entries=form.get("entries", words.count, defaults.entries),
    )
