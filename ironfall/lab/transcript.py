"""What processes say to each other as text for people, the same whenever the same was said.

`heard` is told each message that a relay lets pass or loses; `part` begins the next heading. In a part come what
clients ask; votes; entries of the log, each with who was offered it and who has it; what clients are answered. Within
these the order is that of the log, and what comes at once goes by name. Logs of the keepers stand at the end, each in
its order. Of observers: beats with a word, reports with differences that were taken, and digests with what is in them,
without ages and numbers of beats; a zone's observers are told as one, for a member's home is drawn.

Left out, for their number is that of the clock: beats, ticks, clocks, leases held, looks, early votes, votes that made
no leader, polls that tell nothing new, and each try of an ask between its first and the one that was answered. What is
offered or taken twice is told once, and nothing that is offered to one that is down.
"""

import json
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

from ironfall.lab.between import Fate, Message, Said

QUIET = ("tick", "hold", "rules")  # kinds of entries that are left out
EVENTS = {
    "node started": ("identity", "members"),
    "became leader": ("reign",),
    "follows leader": ("reign", "leader"),
    "unit changed state": ("index", "unit", "to"),
    "member of no group": ("identity",),
    "disk lost confirmed data, starts as a new member": ("cause",),
    "wall clock is off, will not lead": ("cause",),
    "internal error, coordinator stops": ("by",),
    "disk failed": ("cause",),
}
PLACES = ("index", "token")  # fields that name an entry of the log
TIMES = ("at", "until", "since", "started")


@dataclass
class _Entry:
    part: int
    kind: str
    own: dict[str, Any]
    by: str  # who offered it first
    again: bool = False


@dataclass
class Scrubber:
    """Names in place of what differs from run to run."""

    keepers: Mapping[str, str]
    entries: dict[int, str]
    terms_led: list[int]
    drawn: dict[str, str] = field(default_factory=dict)
    places: dict[int, str] = field(default_factory=dict)

    def name(self, name: str) -> str:
        return self.keepers.get(name, name)

    def term(self, term: int) -> str:
        return f"reign {self.terms_led.index(term) + 1}" if term in self.terms_led else "a reign"

    def place(self, index: int) -> str:
        """Entries that are left out can still be a token: numbered as they are met."""
        return self.entries.get(index) or self.places.setdefault(index, f"t{len(self.places) + 1}")

    def text(self, text: str) -> str:
        """Incarnations by the order in which they are met, addresses not at all."""
        return re.sub(
            r"127\.\d+\.\d+\.\d+:\d+",
            "ADDRESS",
            re.sub(r"\b(k\d+)/([0-9a-f]{4,})\b", self._drawn, text),
        )

    def _drawn(self, found: re.Match[str]) -> str:
        name, whole = found[1], found[0]
        if whole not in self.drawn:
            before = sum(other.startswith(name + "/") for other in self.drawn)
            self.drawn[whole] = f"{self.name(name)}/{before + 1}"
        return self.drawn[whole]

    def plain(self, value: Any, key: str = "") -> Any:
        if isinstance(value, dict):
            return {k: self.plain(v, k) for k, v in value.items() if k not in TIMES}
        if isinstance(value, list):
            if (
                len(value) in (3, 4)
                and all(isinstance(v, str) for v in value[:2])
                and type(value[2]) is int
            ):
                return [
                    self.text(value[0]),
                    value[1],
                    self.place(value[2]),
                    *map(self.plain, value[3:]),
                ]
            if key == "to" and len(value) > 1 and type(value[1]) is int:
                return [value[0], self.place(value[1]), *map(self.plain, value[2:])]
            found = [self.plain(v, key) for v in value]
            whole = all(isinstance(v, str) and v in self.drawn.values() for v in found)
            return (
                sorted(found) if whole else found
            )  # identities stand in the order of their real names
        if key in PLACES and type(value) is int and value:
            return self.place(value)
        if key == "reign":
            return self.term(value)
        return self.text(self.name(value)) if isinstance(value, str) else value


class Logs:
    """Keepers' own, as JSON lines in a file for each."""

    def __init__(self, files: Mapping[str, Path]) -> None:
        self.files, self.read = files, dict.fromkeys(files, 0)

    def all(self, name: str) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.files[name].read_text().splitlines()]

    def begin(self) -> None:
        """What was said until now is not of the exchange."""
        self.read = {name: len(self.all(name)) for name in self.files}

    def since(self) -> dict[str, list[dict[str, Any]]]:
        return {name: self.all(name)[self.read[name] :] for name in self.files}

    def last(self, name: str, event: str) -> float:
        """When it said so last, in seconds since 1970."""
        return max(
            datetime.fromisoformat(e["timestamp"]).timestamp()
            for e in self.all(name)
            if e["event"] == event
        )


class Transcript:
    def __init__(self) -> None:
        self.parts: list[str] = []
        self.down: set[str] = set()
        self.since: dict[str, int] = {}  # the part in which one came up or was taken in
        self.entries: dict[int, _Entry] = {}
        self.rows: dict[tuple[Any, ...], tuple[Any, ...]] = {}  # by place, what is told there
        self.led: dict[int, str] = {}
        self.asked: dict[
            tuple[str, int], tuple[str, str] | None
        ] = {}  # by asker and number, a try said again
        self.marks: dict[str, Any] = {}
        self.homes: dict[str, str] = {}  # of observers, their zones
        self.observed: set[tuple[int, str, str]] = set()
        self.taken: dict[str, int] = {}
        self.met: dict[str, str] = {}  # identities as they were heard of, by name the newest
        self.order: list[str] = []
        self.gone: set[str] = set()
        self.before = 0  # the last entry that was offered before the first part

    def part(self, title: str) -> None:
        self.parts.append(title)

    def killed(self, name: str, title: str, lost: bool = False) -> None:
        """`lost`: its disk too, and with it who it was."""
        self.down.add(name)
        self.gone |= {self.met[name]} if lost else set()
        self.part(title)

    def came(self, name: str, title: str) -> None:
        self.down.discard(name)
        self.part(title)
        self.since[name] = len(self.parts) - 1

    def settled(self, names: Iterable[str]) -> bool:
        """Whether all of these have each entry that is told here, or offered it."""
        return all(
            self.taken.get(n, 0) >= i or e.by == n for n in names for i, e in self.entries.items()
        )

    def heard(self, message: Message, fate: Fate) -> None:
        for said in message.said:
            if said.sender not in self.order:
                self.order.append(said.sender)
            self.met[message.source] = said.sender
            if not self.parts:
                self.before = max([self.before, *(index for index, _, _ in said.entries)])
        if not self.parts:
            return
        lost = " (lost)" if not fate.copies else ""
        for said in message.said:
            self._peers(message, said, lost)
        question = message.to or message
        if question.path in ("/v1/fleet/entries", "/v1/fleet/members", "/v1/fleet/marks"):
            self._clients(message, question, lost)
        elif (
            question.path in ("/v1/observe/beats", "/v1/fleet/observed")
            and message.to
            and message.status == 200
        ):
            self._observed(message, question)

    def _row(self, part: int, *place: Any, told: tuple[Any, ...]) -> None:
        self.rows.setdefault((part, *place), told)

    def _peers(self, m: Message, said: Said, lost: str) -> None:
        now, about = len(self.parts) - 1, said.about
        if m.sink in self.down and said.what != "took" or said.to in self.gone:
            return
        if said.what == "offered":
            self.led.setdefault(about[1], m.source)
            for index, kind, own in said.entries:
                if own.get("k") in QUIET or index <= self.before:
                    continue
                entry = self.entries.setdefault(index, _Entry(now, kind, own, m.source))
                if entry.by == m.source:
                    part = max(entry.part, self.since.get(m.sink, 0))
                    self._row(
                        part, 2, index, 0, m.sink, told=("offers", m.source, m.sink, index, lost)
                    )
        elif said.what == "took" and about[3]:
            self.taken[m.source] = max(about[4], self.taken.get(m.source, 0))
            for index, entry in self.entries.items():
                if index <= about[4] and entry.by == m.sink:
                    part = max(entry.part, self.since.get(m.source, 0))
                    self._row(
                        part, 2, index, 1, m.source, told=("has", m.source, m.sink, index, lost)
                    )
        elif said.what == "vote_wanted" and not about[2]:
            self._row(
                now,
                1,
                about[1],
                0,
                m.source,
                m.sink,
                told=("wants a vote", m.source, m.sink, about[1]),
            )
        elif said.what == "voted" and about[3] and not about[2]:
            self._row(
                now, 1, about[1], 1, m.sink, m.source, told=("votes", m.source, m.sink, about[1])
            )

    def _clients(self, m: Message, question: Message, lost: str) -> None:
        now, place, told = len(self.parts) - 1, len(self.rows), question.plain
        if question.path == "/v1/fleet/marks":
            marks = m.plain.get("marks") if m.to and m.status == 200 else None
            if marks is not None and marks != self.marks.get(question.source, []):
                self.marks[question.source] = marks
                self._row(now, 0, place, told=("tells marks", m.source, m.sink, marks))
            return
        what = f"asks {told['number']}" if "entry" in told else "asks"
        key = (told.get("asker", question.source), told.get("number", 0))
        if not m.to:
            if key in self.asked:
                self.asked[key] = (m.source, m.sink)
            elif told.get("entry", {}).get("k") not in QUIET:
                self.asked[key] = None
                self._row(now, 0, place, told=(what, m.source, m.sink, told.get("entry", told), ""))
        elif key in self.asked and m.status not in (409, 421, 503):
            if again := self.asked[key]:
                self.asked[key] = None
                self._row(
                    now, 0, place, told=(what + " again", *again, told.get("entry", told), "")
                )
            self._row(now, 3, place, told=(f"answers {m.status}", m.source, m.sink, m.plain, lost))

    def _observed(self, m: Message, question: Message) -> None:
        """What counted of beats and reports, once in a part."""
        now, said, answer = len(self.parts) - 1, question.plain, m.plain
        if "beats" in said:
            self.homes[m.source] = next(iter(said["beats"].values()))["zone"]
            whole = {*answer["whole"], *answer["full"], *answer["refused"], *answer["over"]}
            told = {
                u: one["word"]
                for u, one in said["beats"].items()
                if one.get("word") and u not in whole
            }
            what = "beats"
        else:
            self.homes[m.sink] = said["zone"]
            told = (
                {}
                if "why" in answer
                else {u: _of_report(one) for u, one in said["members"].items()}
            )
            what = "reports"
        ends = [
            f"observer of {self.homes[one]}" if one in self.homes else one
            for one in (m.sink, m.source)
        ]
        if told and (now, what, _json(told)) not in self.observed:
            self.observed.add((now, what, _json(told)))
            self._row(now, 0, len(self.rows), told=(what, *ends, told, ""))

    # as text

    def text(self, order: Sequence[str], logs: Mapping[str, list[dict[str, Any]]]) -> str:
        """`order`: who is called A, B and so on. `logs`: what each of them logged meanwhile."""
        keepers = {name: chr(ord("A") + n) for n, name in enumerate(order)}
        names = {index: f"e{n}" for n, index in enumerate(sorted(self.entries), 1)}
        scrub = Scrubber(keepers, names, list(self.led))
        for identity in self.order:
            scrub.text(identity)
        lines: list[str] = []
        for n, title in enumerate(self.parts):
            lines += ["", f"# {title}"] if lines else [f"# {title}"]
            rows = [(place, told) for place, told in self.rows.items() if place[0] == n]
            for place, told in sorted(rows, key=lambda row: _order(row[0], scrub)):
                lines += self._line(place, told, scrub)
        for real, shown in sorted(keepers.items(), key=lambda pair: pair[1]):
            lines += ["", f"# {shown} logs"]
            for event in logs.get(real, []):
                if fields := EVENTS.get(event["event"]):
                    said = scrub.plain({f: event[f] for f in fields if f in event})
                    lines.append(
                        f"{event['event']}: " + " ".join(f"{k}={_json(v)}" for k, v in said.items())
                    )
        return "\n".join(lines) + "\n"

    def _line(self, place: tuple[Any, ...], told: tuple[Any, ...], scrub: Scrubber) -> list[str]:
        what, source, sink, about, *lost = told
        ends = f"{scrub.name(source)} -> {scrub.name(sink)}"
        if place[1] == 1:
            if self.led.get(about) != (source if what == "wants a vote" else sink):
                return []
            return [f"{ends}: {what} for {scrub.term(about)}"]
        if place[1] == 2:
            entry = self.entries[about]
            kind = entry.own.get("k", entry.kind)
            members = (
                f" {_json(scrub.plain(entry.own['members']))}"
                if kind == "members" and what == "offers"
                else ""
            )
            members += (
                f" {_json(scrub.plain(_of_digest(entry.own)))}"
                if kind == "digest" and what == "offers"
                else ""
            )
            return [f"{ends}: {what} {scrub.place(about)} {kind}{members}{lost[0]}"]
        return [f"{ends}: {what} {_json(scrub.plain(about))}{lost[0] if lost else ''}"]


def _order(place: tuple[Any, ...], scrub: Scrubber) -> tuple[Any, ...]:
    return tuple(scrub.name(p) if isinstance(p, str) else p for p in place[1:])


def _of_report(one: list[Any]) -> dict[str, Any]:
    incarnation, _, _, word, gone = one
    return {"inc": incarnation, "word": word, "gone": gone}


def _of_digest(own: dict[str, Any]) -> dict[str, Any]:
    """Without what differs from run to run."""
    told = {part: held for part, held in own.items() if part not in ("k", "at", "made")}
    if "directors" in told:
        told["directors"] = {
            d: {x: v for x, v in w.items() if x != "n"} for d, w in told["directors"].items()
        }
    if "hosts" in told:
        told["hosts"] = {
            h: [inc, up, token] for h, (inc, _, up, _, token, _) in told["hosts"].items()
        }
    if "lapsed" in told:
        told["lapsed"] = {d: inc for d, (inc, _) in told["lapsed"].items()}
    return told


def _json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
