"""The director among the keepers: a lease renewed, and once a second its word of what it stands for.

Nothing here is waited for: with every keeper dead, mute or talking nonsense, turns and polls go on as without any.
"""

import random
import time
from collections.abc import Callable
from typing import Any, Protocol

import gevent

from ironfall.coordinator import client
from ironfall.director import explain
from ironfall.director.live import Live
from ironfall.director.stands import Stands
from ironfall.membership_server.client import AggregatorUnavailableError, HeartbeatClient

SECOND = 10_000
EVERY = 1.0  # seconds between two words
SHORTEST = 0.05


class Keepers(Protocol):
    """Whoever takes entries to the keepers, one at a time: it turns from one to the next, and numbers what it asks."""

    def ask(self, entry: dict[str, Any]) -> Any:
        """The ledger's answer; raises where there is none."""
        ...


class Way:
    """`Keepers` by their client end, each ask within `seconds`."""

    def __init__(self, client: client.CoordinatorClient, seconds: float) -> None:
        self.client, self.seconds = client, seconds

    def ask(self, entry: dict[str, Any]) -> Any:
        heard = self.client.ask(entry, self.seconds)
        if heard.why:
            # In doubt it may have come into effect: leases, words and lists may come twice without harm.
            raise AggregatorUnavailableError(f"{heard.why}: {heard.text}")
        return heard.told.get("answer")


class Membership:
    """The lease and the numbers of words; pure. Times are those of a clock that never stands still.

    `until` is when others may take it for gone, by the terms' lease less what its clock may drift.
    """

    def __init__(
        self, name: str, zone: str, version: str, incarnation: int, lease: int, drift: float
    ) -> None:
        self.name, self.zone, self.version, self.incarnation = name, zone, version, incarnation
        self.third, self.lasts = lease // 3, int(lease * (1 - drift))
        self.renew = self.until = self.number = 0

    def due(self, now: int) -> bool:
        return now >= self.renew

    def live(self, now: int) -> bool:
        return now < self.until

    def join(self) -> dict[str, Any]:
        return {
            "k": "join",
            "director": self.name,
            "inc": self.incarnation,
            "zone": self.zone,
            "version": self.version,
        }

    def joined(self, asked: int) -> None:
        """The lease counts from when it was asked for: the answer may have come late."""
        self.renew, self.until = asked + self.third, asked + self.lasts

    def over(self) -> None:
        """The keepers hold this incarnation for gone, or know a later one: it comes again as a newer."""
        self.incarnation, self.number = self.incarnation + 1, 0
        self.renew = self.until = 0

    def say(self, word: dict[str, Any]) -> dict[str, Any]:
        self.number += 1
        return {
            "k": "words",
            "directors": {self.name: {"inc": self.incarnation, "n": self.number, **word}},
        }


class Member:
    """`start` and `stop`; all that fails is counted, and logged when it begins and ends."""

    def __init__(
        self,
        live: Live,
        keepers: Keepers | HeartbeatClient,
        name: str,
        zone: str,
        version: str,
        lease: int,
        drift: float,
        seed: int,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """`keepers`: the way to them; or to the observers of its zone, where the terms name some."""
        self.live, self.monotonic = live, monotonic
        self.beats = keepers if isinstance(keepers, HeartbeatClient) else None
        self.keepers = None if isinstance(keepers, HeartbeatClient) else keepers
        service = live.terms.service
        self.stands = Stands(
            live.publication,
            live.sessions,
            live.channel,
            len(live.terms.classes),
            service.queue_limit,
            service.unassigned_limit,
            service.drain_grace,
        )
        # The epoch counts up over starts, in millionths of a second: none is passed by coming again a few times.
        self.membership = Membership(name, zone, version, live.epoch, lease, drift)
        self.chance = random.Random(seed)
        self.patience = lease / SECOND / 3  # for one answer: the next word replaces this one
        self.most = max(EVERY, lease / SECOND / 5)  # between two tries: a lease holds several
        self.wait, self.trouble = EVERY, ""
        self.leaving, self.token = False, 0  # what the one who stops this director says
        self.told: gevent.Greenlet | None = None

    def start(self) -> None:
        self.told = gevent.spawn(self._run if self.beats is None else self._beat)

    def stop(self) -> None:
        if self.told is not None:
            self.told.kill(block=False)

    def ordered(self, token: int, leaving: bool) -> bool:
        """The word of whoever is to stop this director, or no longer is, under the token of its permit."""
        if token < self.token:
            return False
        self.token, self.leaving = token, leaving
        return True

    def _run(self) -> None:
        while True:
            # Jittered: hundreds of directors must not all speak at once, nor come back at once to a new leader.
            gevent.sleep(self.wait * (0.8 + 0.4 * self.chance.random()))
            try:
                with gevent.Timeout(self.patience, TimeoutError("no answer in time")):
                    self.once()
            except Exception as cause:  # whatever a keeper or the way to it does must not end this
                self.live.count("keepers unheard")
                self._trouble(f"{type(cause).__name__}: {cause}"[:200])
                # Asked again for ever, as the lease and each word replace the last; never faster than once a second.
                self.wait = min(self.most, 2 * self.wait)
            else:
                self.wait = EVERY

    def _beat(self) -> None:
        assert self.beats is not None
        while True:
            gevent.sleep(max(SHORTEST, self.beats.wait()))
            try:
                self.beat(self.beats)
            except (
                Exception
            ) as cause:  # whatever an observer or the way to it does must not end this
                self.live.count("keepers unheard")
                self._trouble(f"{type(cause).__name__}: {cause}"[:200])
                if not isinstance(cause, AggregatorUnavailableError):  # then no next time is set
                    gevent.sleep(EVERY)

    def beat(self, beats: HeartbeatClient) -> None:
        """Say what it stands for to its observer, which tells the keepers what changed. Raises `Unheard`."""
        member, unit = self.membership, f"director/{self.membership.name}"
        said = beats.say({unit: (member.incarnation, self._word() | {"version": member.version})})
        if unit in said["over"]:
            member.incarnation = max(member.incarnation, int(said["over"][unit]))
            member.over()
            return self._trouble(f"not joined: incarnation {said['over'][unit]} is over")
        if unit in said["full"] or unit in said["refused"]:
            return self._trouble(
                f"its word counts for nothing: {said['refused'].get(unit, 'no room')}"[:200]
            )
        member.until = max(member.until, beats.homing.lasts(beats.now()))
        if unit not in said["whole"]:
            self.live.count("words said")
        return self._trouble("")

    def _word(self) -> dict[str, Any]:
        for _ in self.stands.look(
            self.live.clock.now(), list(self.live.roster.ids), self._silent()
        ):
            gevent.sleep(0)
        return self.stands.word | {"leaving": self.leaving, "token": self.token}

    def once(self) -> None:
        """Renew what is due, and say the word. Raises what the way to the keepers raises."""
        assert self.keepers is not None
        member, now = self.membership, int(self.monotonic() * SECOND)
        if member.due(now):
            answer = self.keepers.ask(member.join())
            if not isinstance(answer, dict) or not ("ok" in answer or "no" in answer):
                raise ValueError(f"no answer of a ledger: {str(answer)[:80]}")
            if "no" in answer:
                member.over()
                return self._trouble(f"not joined: {answer['no']}"[:200])
            member.joined(now)
        answer = self.keepers.ask(member.say(self._word()))
        told = answer.get("ok") if isinstance(answer, dict) else None
        if told is None:
            raise ValueError(f"its word was refused: {str(answer)[:80]}")
        if isinstance(told, dict) and (why := told.get(member.name)):
            member.renew = 0  # the lease may have lapsed: the next join shows it
            return self._trouble(f"its word counts for nothing: {why}"[:200])
        self.live.count("words said")
        return self._trouble("")

    def _silent(self) -> list[str]:
        ids = self.live.roster.hosts
        return [ids[host] for host in explain.silent(self.live.decisions) if host in ids]

    def _trouble(self, cause: str) -> None:
        if cause.partition(":")[0] != self.trouble.partition(":")[0]:
            if cause:
                self.live.log.warning("the keepers do not hear this director", cause=cause)
            else:
                self.live.log.info(
                    "the keepers hear this director", incarnation=self.membership.incarnation
                )
        self.trouble = cause

    def status(self) -> dict[str, Any]:
        member = self.membership
        left = (member.until - int(self.monotonic() * SECOND)) / SECOND
        return {
            "incarnation": member.incarnation,
            "lease_s": round(max(0.0, left), 1),
            "trouble": self.trouble,
        }
