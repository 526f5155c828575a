"""Relays between processes on loopback, with faults found by step: one listener for each directed pair.

A process is given the relay's address in its own copy of the terms and knows of nothing. What passes is taken message
by message (whole HTTP messages, one at a time on a connection, as all ends here speak), told to `Faults`, and treated
as that says. `Faults` is pure: it knows no sockets and no clock, and chance is handed in.
"""

import io
import json
import random
import socket
from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import cached_property
from http.client import HTTPException, parse_headers
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer

MOST = 17 * 2**20  # bytes of a message: more than a keeper's largest post
HEAD = 64 * 2**10
CONNECT = 0.3  # seconds
UNANSWERED = 64  # questions on a connection
BROKEN = (OSError, ValueError, HTTPException)


@dataclass(frozen=True)
class Said:
    """One message among keepers. `entries` of an offer: index, kind of the agreement's, the ledger's own entry."""

    what: str
    sender: str
    to: str
    about: list[Any]
    entries: tuple[tuple[int, str, dict[str, Any]], ...] = ()


@dataclass(frozen=True)
class Message:
    """One whole HTTP message on its way. `to`: the question, where this answers one."""

    source: str
    sink: str
    first: str  # its first line
    body: bytes = b""
    to: "Message | None" = None

    @cached_property
    def plain(self) -> Any:
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            return None

    @property
    def status(self) -> int:
        return int(self.first.split()[1]) if self.to else 0

    @property
    def path(self) -> str:
        return "" if self.to else self.first.split()[1].partition("?")[0]

    @property
    def kind(self) -> str:
        """Of the ledger's entry that a client asks for."""
        told = self.plain if self.path == "/v1/fleet/entries" else None
        return str(told["entry"]["k"]) if isinstance(told, dict) else ""

    @cached_property
    def said(self) -> tuple[Said, ...]:
        if self.path != "/v1/peer/said" or not isinstance(self.plain, list):
            return ()
        return tuple(_said(one) for one in self.plain)


def _said(one: dict[str, Any]) -> Said:
    entries = []
    if one["what"] == "offered":
        for place, (_, kind, _, _, data) in enumerate(one["about"][5], one["about"][3] + 1):
            own = {"ask": data.partition("\n")[2], "members": data}.get(kind)
            held = json.loads(own) if own else {}
            entries.append((place, kind, held if isinstance(held, dict) else {"members": held}))
    return Said(one["what"], one["from"], one["to"], one["about"], tuple(entries))


Match = Callable[[Message], bool]


def offers(kind: str, source: str = "", sink: str = "") -> Match:
    """An offer to a peer that carries an entry of this kind, as the ledger has kinds."""
    return lambda m: (
        _ends(m, source, sink) and any(e.get("k") == kind for s in m.said for _, _, e in s.entries)
    )


def takes(least: Callable[[], int], source: str = "", sink: str = "") -> Match:
    """A peer's word that its disk has what it was offered, up to this index or more."""
    return lambda m: (
        _ends(m, source, sink)
        and any(s.what == "took" and s.about[3] and s.about[4] >= least() > 0 for s in m.said)
    )


def says(what: str, source: str = "", sink: str = "") -> Match:
    return lambda m: _ends(m, source, sink) and any(s.what == what for s in m.said)


def asks(kind: str, source: str = "", sink: str = "") -> Match:
    return lambda m: m.kind == kind and _ends(m, source, sink)


def answers(match: Match, status: int = 0) -> Match:
    return lambda m: m.to is not None and match(m.to) and status in (0, m.status)


def between(source: str, sink: str) -> Match:
    return lambda m: _ends(m, source, sink)


def _ends(m: Message, source: str, sink: str) -> bool:
    return source in ("", m.source) and sink in ("", m.sink)


@dataclass(frozen=True)
class Fate:
    """What becomes of a message: how often it comes, how late (seconds), how many of its bytes are changed, and
    whether its sender's end is closed once `part` of it is through (the other way goes on)."""

    copies: int = 1
    late: float = 0.0
    spoilt: int = 0
    closed: bool = False
    part: float = 1.0


PASSES, VANISHES, TWICE, SPOILT = Fate(), Fate(copies=0), Fate(copies=2), Fate(spoilt=3)
HALF_CLOSED, TORN = Fate(closed=True), Fate(closed=True, part=0.5)


@dataclass
class _Step:
    """From the n-th match on, for as many messages; `act` before the first of them goes on."""

    match: Match
    fate: Fate
    left: int
    times: int
    act: Callable[[Message], None] | None
    done: Event


@dataclass
class _Often:
    match: Match
    fate: Fate
    part: float


class Faults:
    def __init__(
        self, chance: random.Random, tell: Callable[[Message, Fate], None] = lambda m, f: None
    ) -> None:
        """`tell` hears of each message, and of its fate, before it goes on."""
        self.chance, self.tell = chance, tell
        self.cuts: set[tuple[str, str]] = set()
        self.steps: list[_Step] = []
        self.often: list[_Often] = []
        self.counts: Counter[Fate] = Counter()

    def at(
        self,
        match: Match,
        fate: Fate = PASSES,
        act: Callable[[Message], None] | None = None,
        nth: int = 1,
        times: int = 1,
    ) -> Event:
        """The n-th message that matches, and as many after it as `times` says. The event is set at the first."""
        self.steps.append(_Step(match, fate, nth, times, act, Event()))
        return self.steps[-1].done

    def some(self, match: Match, fate: Fate, part: float) -> Callable[[], None]:
        """Drawn for each message that matches, until `mend` or what comes back is called."""
        one = _Often(match, fate, part)
        self.often.append(one)
        return lambda: self.often.remove(one) if one in self.often else None

    def cut(self, source: str, sink: str) -> None:
        """What `source` sends to `sink` vanishes, questions and answers, until `mend`; the other way goes on."""
        self.cuts.add((source, sink))

    def join(self, source: str, sink: str) -> None:
        self.cuts.discard((source, sink))

    def mend(self) -> None:
        """Steps that are still to come stay."""
        self.cuts.clear()
        self.often.clear()

    def fate(self, message: Message) -> Fate:
        fate = self._fate(message)
        self.counts[fate] += 1
        self.tell(message, fate)
        return fate

    def _fate(self, message: Message) -> Fate:
        for step in list(self.steps):
            if not step.match(message):
                continue
            step.left -= 1
            if step.left > 0:
                continue
            if step.left == 0 and step.act is not None:
                step.act(message)
            if step.left <= 1 - step.times:
                self.steps.remove(step)
            step.done.set()
            return VANISHES if (message.source, message.sink) in self.cuts else step.fate
        if (message.source, message.sink) in self.cuts:
            return VANISHES
        for one in self.often:
            if one.match(message) and self.chance.random() < one.part:
                return one.fate
        return PASSES

    def spoil(self, raw: bytes, count: int) -> bytes:
        changed = bytearray(raw)
        for at in self.chance.sample(range(len(raw)), min(count, len(raw))):
            changed[at] ^= self.chance.randrange(1, 256)
        return bytes(changed)


def messages(recv: Callable[[int], bytes]) -> Iterator[tuple[bytes, str, bytes]]:
    """Whole messages as they come in: all bytes, first line, body. Raises `ValueError` (or what the head's reader
    raises) for what is none, or over the bound."""
    held = b""
    while True:
        while (at := held.find(b"\r\n\r\n")) < 0:
            if len(held) > HEAD:
                raise ValueError("a head is over its bound")
            if not (more := recv(64 * 1024)):
                return
            held += more
        first, _, fields = held[: at + 4].partition(b"\r\n")
        size = int(parse_headers(io.BytesIO(fields)).get("Content-Length", "0"))
        if not 0 <= size <= MOST:
            raise ValueError("a body is over its bound")
        parts, there, end = [held], len(held), at + 4 + size
        while there < end:
            if not (more := recv(64 * 1024)):
                return
            parts.append(more)
            there += len(more)
        held = b"".join(parts)
        yield held[:end], first.decode("latin-1"), held[at + 4 : end]
        held = held[end:]


class Relay:
    """One directed pair: who connects to it speaks as `source` to `sink`."""

    def __init__(
        self, source: str, sink: str, to: tuple[str, int], faults: Faults, flows: Event
    ) -> None:
        self.source, self.sink, self.to, self.faults, self.flows = source, sink, to, faults, flows
        self.server = StreamServer(("127.0.0.1", 0), self._serve, backlog=1024)
        self.server.start()
        self.address = ("127.0.0.1", int(self.server.server_port))

    def stop(self) -> None:
        self.server.stop(0)

    def _serve(self, near: socket.socket, _address: Any) -> None:
        try:
            far = gevent.socket.create_connection(self.to, CONNECT)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Questions whose answers are to come, and whether those are anybody's: what came twice is answered twice.
        asked: deque[tuple[Message, bool]] = deque()
        back = gevent.spawn(
            self._pump, far, near, lambda r, f, b: self._answered(near, asked, r, f, b)
        )
        try:
            self._pump(near, far, lambda r, f, b: self._asked(far, asked, r, f, b))
            back.join()
        finally:
            back.kill()
            near.close()
            far.close()

    def _asked(
        self,
        far: socket.socket,
        asked: deque[tuple[Message, bool]],
        raw: bytes,
        first: str,
        body: bytes,
    ) -> None:
        message = Message(self.source, self.sink, first, body)
        fate = self.faults.fate(message)
        if len(asked) + fate.copies > UNANSWERED:
            raise ValueError("too many questions wait for their answers")
        asked.extend((message, copy == 0) for copy in range(fate.copies))
        self._send(far, raw, fate)

    def _answered(
        self,
        near: socket.socket,
        asked: deque[tuple[Message, bool]],
        raw: bytes,
        first: str,
        body: bytes,
    ) -> None:
        if not asked:
            raise ValueError("an answer to nothing")
        to, wanted = asked.popleft()
        if wanted:
            fate = self.faults.fate(Message(self.sink, self.source, first, body, to))
            # A second answer to one question would be read as the next one's.
            self._send(near, raw, replace(fate, copies=min(1, fate.copies)))

    def _send(self, sink: socket.socket, raw: bytes, fate: Fate) -> None:
        if fate.late:
            gevent.sleep(fate.late)
        self.flows.wait()
        raw = self.faults.spoil(raw, fate.spoilt) if fate.spoilt else raw
        sink.sendall((raw * fate.copies)[: round(len(raw) * fate.copies * fate.part)])
        if fate.closed:
            sink.shutdown(socket.SHUT_WR)

    def _pump(
        self, source: socket.socket, sink: socket.socket, take: Callable[[bytes, str, bytes], None]
    ) -> None:
        how = socket.SHUT_WR
        try:
            for raw, first, body in messages(source.recv):
                take(raw, first, body)
        except BROKEN:
            how = socket.SHUT_RDWR  # what is no message can't be followed any further
        for sock in (sink,) if how == socket.SHUT_WR else (source, sink):
            try:
                sock.shutdown(how)
            except OSError:
                pass


class Between:
    """All ways between some processes."""

    def __init__(self, faults: Faults) -> None:
        self.faults, self.flows = faults, Event()
        self.flows.set()
        self.relays: dict[tuple[str, str], Relay] = {}

    def way(self, source: str, sink: str, to: tuple[str, int]) -> tuple[str, int]:
        """The address at which `source` finds `sink`."""
        if (source, sink) not in self.relays:
            self.relays[source, sink] = Relay(source, sink, to, self.faults, self.flows)
        return self.relays[source, sink].address

    def others(self, name: str) -> set[str]:
        """All that speak to it or that it speaks to."""
        return {one for pair in self.relays if name in pair for one in pair} - {name}

    def copy(self, text: str, who: str, keepers: Sequence[tuple[str, tuple[str, int]]]) -> str:
        """The terms as `who` gets them: its own address in them, and relays to all others."""
        for name, (host, port) in keepers:
            if name != who:
                relay = self.way(who, name, (host, port))
                text = text.replace(
                    f'"{name}" "{host}:{port}"', f'"{name}" "{relay[0]}:{relay[1]}"'
                )
        return text

    def still(self, stands: bool = True) -> None:
        """Nothing passes anywhere, and nobody is told, until it is called back."""
        (self.flows.clear if stands else self.flows.set)()

    def stop(self) -> None:
        self.flows.set()
        for relay in self.relays.values():
            relay.stop()
