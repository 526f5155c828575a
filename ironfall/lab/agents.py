"""What hosts' owners would run beside the keepers: an agent on each host, and what it and the registry share.

An agent says each second whether its host's process is up and how long nothing came to it, and stops or starts the
process as keepers' marks order. It acts under the newest token alone, also over its own restart.
"""

import json
import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

import gevent

from ironfall.director.fleet_member import CoordinatorLedger
from ironfall.disruption import Fence
from ironfall.membership.limits import MAX_HEARTBEATS_PER_MESSAGE
from ironfall.membership_server.client import AggregatorUnavailableError, HeartbeatClient
from ironfall.storage.disk import Disk
from ironfall.storage.records import decode_records, encode_record

if TYPE_CHECKING:
    from ironfall.lab.hosts import Fleet, Host

SECOND = 10_000
EVERY = 1.0  # seconds between two words
SHORTEST = 0.05
LONGEST = 5.0  # seconds between two tries
REST = SECOND  # without any exchange, before an agent stops its host
Marks = list[
    tuple[str, str, int]
]  # unit, what it is to be (leaving, stopped, starting, ready), token


class Process(Protocol):
    """A host's process, as its agent sees it. Times are tenths of a millisecond."""

    @property
    def up(self) -> bool: ...
    @property
    def incarnation(self) -> int: ...
    def hand(self) -> int: ...  # exchanges that came and are not answered
    def came(self) -> int: ...  # when the last one came
    def stop(self, token: int) -> None: ...
    def start(
        self, token: int
    ) -> None: ...  # only where it was stopped so: what fell comes up by itself


class Keepers(Protocol):
    """The way to the keepers, for one greenlet at a time. Both raise where nobody answers."""

    def propose(self, entry: dict[str, Any]) -> Any: ...
    def marks(
        self, after: int, wait: int
    ) -> tuple[int, Marks]: ...  # once changed, or as they are after `wait` ms


class Ways(CoordinatorLedger):
    """`Keepers` by their client end."""

    def marks(self, after: int, wait: int) -> tuple[int, Marks]:
        heard = self.client.poll_drain_markers(after, wait / 1000)
        if heard.failure:
            raise AggregatorUnavailableError(f"{heard.failure}: {heard.detail}")
        marks = [(str(unit), str(want), int(token)) for unit, want, token in heard.body["marks"]]
        return int(heard.body["index"]), marks


class Kept:
    """One small state, replaced whole by a rename, so that a crash leaves the old one or the new."""

    def __init__(self, disk: Disk, name: str) -> None:
        """Raises `ValueError` for one that is damaged: without its tokens an older order would be let through."""
        self.disk, self.name = disk, name
        self.state: dict[str, Any] = {"tokens": {}, "starts": 0}
        if name in disk.list_names():
            records, _, wrong = decode_records(disk.read(name))
            if wrong or len(records) != 1:
                raise ValueError(f"{name}: {wrong or f'{len(records)} records in place of one'}")
            self.state = json.loads(records[0])
        self.save(starts=self.state["starts"] + 1)

    def save(self, **about: Any) -> None:
        """Raises `OSError`; what was kept before is then kept still."""
        state, fresh = self.state | about, self.name + ".new"
        self.disk.remove(fresh)
        self.disk.append(fresh, encode_record(json.dumps(state).encode()))
        self.disk.sync(fresh)
        self.disk.rename(fresh, self.name)
        self.state = state

    def first(self) -> int:
        """Where numbers of this start begin: over those of any earlier one, whatever a clock says."""
        return int(self.state["starts"]) << 32


class Agent:
    """Of one host; pure. `rest`: how long nothing must have come before it stops the process, whoever orders it;
    `lasts`: how long an order to stop holds that is not told again, so that a halt is true where no word comes."""

    def __init__(
        self,
        name: str,
        process: Process,
        fence: Fence,
        save: Callable[[], None],
        number: int,
        now: int,
        rest: int,
        lasts: int,
        tell: Callable[..., None],
    ) -> None:
        self.name, self.unit, self.process, self.fence = name, f"host/{name}", process, fence
        self.save, self.number, self.rest, self.lasts, self.tell = save, number, rest, lasts, tell
        self.since, self.seen = now, process.incarnation  # since when it watches this process
        self.order: tuple[str, int] | None = None  # what is still to be done
        self.told = now  # when that was last told
        self.done = ("", 0)

    def quiet(self, now: int) -> int:
        """How long nothing came and nothing was in hand, as far as it was there to see."""
        if self.seen != self.process.incarnation:
            self.seen, self.since = self.process.incarnation, now
        if self.process.up and self.process.hand():
            return 0
        return max(0, now - max(self.since, self.process.came()))

    def word(self, now: int) -> dict[str, Any]:
        self.number += 1
        return {
            "inc": self.process.incarnation,
            "n": self.number,
            "up": self.process.up,
            "quiet": self.quiet(now),
            "token": self.done[1],
        }

    def ordered(self, now: int, want: str, token: int, said: int | None = None) -> bool:
        """A mark of the keepers, who said it at `said`, now if left out; False for one older than the newest. Raises
        `OSError` where it can't be kept: then nothing was done, and it is to be told again."""
        known = self.fence.tokens.get(self.unit, 0)
        if not self.fence.allows(self.unit, token):
            self.tell("older", unit=self.unit, token=token, newest=known)
            return False
        if token != known:
            self.order = (
                None  # also where the newer can't be kept: the older is not to be done any more
            )
        if self.order is None and token != self.done[1]:
            self.save()
        if self.order is not None or (want, token) != self.done:
            # Under one token it may be less than before: what a halt calls back is not to be stopped any more.
            self.order, self.told = (want, token), now if said is None else said
        self.act(now)
        return True

    def act(self, now: int) -> None:
        """Do what is ordered, as soon as it may be done."""
        if self.order is None:
            return
        want, token = self.order
        if want == "stopped" and self.process.up:
            if self.quiet(now) < self.rest or now > self.told + self.lasts:
                return  # something came after all; or nobody says any more that it may be stopped
            self.process.stop(token)
        elif want in ("starting", "ready") and not self.process.up:
            self.process.start(token)
            if not self.process.up:
                return  # it fell by itself, and comes up by itself
        self.done, self.order = self.order, None


class Agents:
    """All agents of a machine's process: one word for all each second, and one table of orders."""

    def __init__(self, agents: Iterable[Agent], now: Callable[[], int]) -> None:
        self.agents, self.now = {agent.name: agent for agent in agents}, now
        self.cut: set[str] = set()  # hosts whose agents neither hear nor are heard

    def marked(self, marks: Marks, said: int | None = None) -> None:
        """`said`: when keepers did, where that is known to be earlier than now."""
        failed: OSError | None = None
        for unit, want, token in marks:
            kind, _, name = unit.partition("/")
            if kind == "host" and name in self.agents and name not in self.cut:
                try:
                    self.agents[name].ordered(self.now(), want, token, said)
                except OSError as cause:
                    failed = cause  # one disk that is full holds up no other host
        if failed:
            raise failed

    def say(self, keepers: Keepers, together: int = 8_192) -> None:
        """Raises what the way to the keepers raises; the next word replaces one that was lost."""
        now = self.now()
        words = {}
        for name, agent in self.agents.items():
            agent.act(now)
            if name not in self.cut:
                words[name] = agent.word(now)
        names = list(words)
        for start in range(0, len(names), together):  # what fits into an entry
            keepers.propose(
                {
                    "k": "agents",
                    "hosts": {name: words[name] for name in names[start : start + together]},
                }
            )

    def beat(self, names: Iterable[str], beats: HeartbeatClient, first: int) -> None:
        """What `say` does, of some, to an observer of their zone; and what it tells is done. `first`: where the numbers
        of this start begin. Raises `Unheard`, and what `marked` does."""
        now, words, quiet = self.now(), dict[str, tuple[int, dict[str, Any]]](), dict[str, int]()
        for name in names:
            agent = self.agents[name]
            agent.act(now)
            if name not in self.cut:
                word = agent.word(now)
                words[agent.unit] = word["inc"], {"up": word["up"], "token": word["token"]}
                quiet[agent.unit] = word["quiet"]
        beats.send_heartbeats(words, quiet, dict.fromkeys(words, first))
        self.marked(beats.drain_markers, beats.markers_read_at)


class Beating:
    """A greenlet for the hosts of one zone, as many as one message takes."""

    def __init__(
        self, agents: Agents, names: list[str], beats: HeartbeatClient, first: int, log: Any
    ) -> None:
        self.agents, self.names, self.beats, self.first, self.log = agents, names, beats, first, log
        self.trouble = ""
        self.job = gevent.spawn(self._run)

    def stop(self) -> None:
        self.job.kill(block=False)
        self.beats.close()

    def _run(self) -> None:
        while True:
            gevent.sleep(max(SHORTEST, self.beats.seconds_until_due()))
            try:
                self.agents.beat(self.names, self.beats, self.first)
            except Exception as cause:  # whatever an observer or a disk does must not end this
                if not self.trouble:
                    self.log.warning(
                        "beats of hosts fail", cause=f"{type(cause).__name__}: {cause}"[:200]
                    )
                self.trouble = repr(cause)[:200]
                if not isinstance(cause, AggregatorUnavailableError):
                    gevent.sleep(EVERY)
            else:
                if self.trouble:
                    self.log.info("beats of hosts go on")
                self.trouble = ""


class Again:
    """A greenlet that does one thing again and again; each failure is counted, and waited after, with jitter.

    There is no end to its tries, and none of them is harmful: orders carry tokens, words replace each other.
    """

    def __init__(
        self, what: Callable[[], None], every: float, chance: random.Random, log: Any, name: str
    ) -> None:
        self.what, self.every, self.chance, self.log, self.name = what, every, chance, log, name
        self.failures, self.trouble, self.wait = 0, "", 0.2
        self.job = gevent.spawn(self._run)

    def stop(self) -> None:
        self.job.kill(block=False)

    def _run(self) -> None:
        while True:
            try:
                self.what()
            except Exception as cause:  # whatever keepers or a disk do must not end this
                self.failures += 1
                if not self.trouble:
                    self.log.warning(
                        f"{self.name} fails", cause=f"{type(cause).__name__}: {cause}"[:200]
                    )
                self.trouble = repr(cause)[:200]
                gevent.sleep(self.wait * (0.5 + self.chance.random()))
                self.wait = min(LONGEST, 2 * self.wait)
            else:
                if self.trouble:
                    self.log.info(f"{self.name} goes on")
                self.trouble, self.wait = "", 0.2
                gevent.sleep(self.every * (0.8 + 0.4 * self.chance.random()))


class Follow:
    """Keepers' marks handed on as they change, and now and then as they stand; what could not be done of them is asked
    for again."""

    def __init__(self, keepers: Keepers, take: Callable[[Marks], None], wait: int = 1_000) -> None:
        self.keepers, self.take, self.wait, self.index = keepers, take, wait, -1

    def once(self) -> None:
        index, marks = self.keepers.marks(self.index, self.wait)
        self.take(marks)
        self.index = index


class Watched:
    """An emulated host as its agent sees it."""

    def __init__(self, host: "Host") -> None:
        self.host, self.stop, self.start = host, host.order_down, host.order_up

    @property
    def up(self) -> bool:
        return self.host.up

    @property
    def incarnation(self) -> int:
        return self.host.incarnation

    def hand(self) -> int:
        return len(self.host.work)

    def came(self) -> int:
        return int(self.host.met * SECOND)


def watch(
    fleet: "Fleet",
    keepers: Callable[[str], Keepers],
    kept: Kept,
    now: Callable[[], int],
    lasts: int,
    chance: random.Random,
    log: Any,
) -> tuple[Agents, list[Again]]:
    """Agents on all hosts of a process, with one state between them. `lasts` as `Agent` has it."""
    agents = _agents(fleet, kept, now, lasts)
    says, hears = keepers("agents"), Follow(keepers("agents"), agents.marked)
    return agents, [
        Again(lambda: agents.say(says), EVERY, chance, log, "telling of hosts"),
        Again(hears.once, 0.0, chance, log, "following marks"),
    ]


def watch_observed(
    fleet: "Fleet",
    beats: Callable[[str], HeartbeatClient],
    kept: Kept,
    now: Callable[[], int],
    lasts: int,
    log: Any,
) -> tuple[Agents, list[Beating]]:
    """The same where the terms name observers: `beats` makes the way to those of a zone."""
    agents, zones = _agents(fleet, kept, now, lasts), dict[str, list[str]]()
    for host in fleet.hosts.values():
        zones.setdefault(host.zone, []).append(host.name)
    return agents, [
        Beating(agents, names[at : at + MAX_HEARTBEATS_PER_MESSAGE], beats(zone), kept.first(), log)
        for zone, names in zones.items()
        for at in range(0, len(names), MAX_HEARTBEATS_PER_MESSAGE)
    ]


def _agents(fleet: "Fleet", kept: Kept, now: Callable[[], int], lasts: int) -> Agents:
    fence = Fence(kept.state["tokens"])
    return Agents(
        [
            Agent(
                host.name,
                Watched(host),
                fence,
                lambda: kept.save(tokens=fence.state()),
                kept.first(),
                now(),
                REST,
                lasts,
                host.tell,
            )
            for host in fleet.hosts.values()
        ],
        now,
    )
