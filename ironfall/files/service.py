"""Operators' files in a running director: watched, read apart, checked, adopted at one turn, kept, and shown."""

import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent import subprocess
from gevent.threadpool import ThreadPool

from ironfall.api.registry import BadList
from ironfall.decisions.events import EventKind
from ironfall.files.checks import Allowed, check, difference
from ironfall.files.merge import FREE, Merge, Misshapen
from ironfall.files.servers import ServerSet
from ironfall.files.store import Adoption, Store
from ironfall.files.taking import Taking
from ironfall.files.terms import FilesTerms
from ironfall.files.watch import Watch
from ironfall.storage.disk import Folder

SECOND = 10_000
EFFECT_AFTER = 10.0  # seconds from an adoption to what is noted as its effect
EXPIRY_LOOK = 0.2  # seconds
STORE_AGAIN = 5.0  # seconds before a disk that refused is asked again
OUT_MOST = 256 * 2**20


class Files:
    """`live` is the director's; its turn loop alone decides. `wall` is the machine's time of day."""

    def __init__(
        self, live: Any, terms: FilesTerms, log: Any, wall: Callable[[], float] = time.time
    ) -> None:
        self.live, self.terms, self.log, self.wall = live, terms, log, wall
        self.began = wall(), time.monotonic()
        self.merge = Merge()
        self.held: dict[bytes, tuple[float, float]] = {}
        self.kept: dict[bytes, int] = {}  # classes kept off a host, as a mask
        self.taking = Taking(terms.settle / SECOND)
        self.counts: Counter[str] = Counter()
        self.refusal: dict[str, Any] = {}
        self.notes: list[str] = []
        self.took: dict[str, int] = {}  # by the last reading
        self.standing = "none yet"
        self.seen_registry = False
        self.pool = ThreadPool(1)
        self.store: Store | None = None
        self.store_state = "none" if not terms.store else "good"
        self.adoption: Adoption | None = None
        self.running: list[gevent.Greenlet] = []

    # life

    def start(self) -> None:
        """Adopts the last good set of the store, before any proxy can join."""
        if self.terms.store:
            self.pool.apply(self._open)
        if self.adoption:
            self.merge = Merge({}, self.adoption.told, self.adoption.since)
            self.taking.took(self.adoption.digest)
            self.log.info("servers kept", number=self.adoption.number, by=self.adoption.by)
            # Not fresh: as it was kept over the start.
            if self.adoption.told.hosts:
                self._hand(self.merge, fresh=False)
        self.watch = Watch(self.terms.path, self.terms.poll / SECOND)
        self.running = [gevent.spawn(self._run), gevent.spawn(self._expire)]

    def _open(self) -> None:
        try:
            self.folder = Folder(Path(self.terms.store))
            store = Store(self.folder)
            self.adoption = store.open()
            self.store = store
        except OSError as wrong:
            self.store_state = f"can't be read: {wrong}"
            self.log.error("servers' store", cause=str(wrong))
            return
        for fault in store.faults:
            self.log.warning("servers' store", fault=fault)

    def stop(self) -> None:
        gevent.killall(self.running)
        self.watch.stop()
        if self.store is not None:
            self.pool.apply(self.folder.close)
        self.pool.kill()

    def now(self) -> float:
        """The time of day as it was at the start and has gone on since.

        To set the machine's clock ends no pin, lengthens none, and makes no host younger.
        """
        return self.began[0] + time.monotonic() - self.began[1]

    # the registry's side

    def registry(self, rows: Any, whole: bool) -> None:
        """The registry's answer, merged and put to the decisions. Raises `BadList`, and then nothing changed."""
        try:
            merge = self.merge.registry(rows, whole)
        except Misshapen as wrong:
            raise BadList(str(wrong)) from None
        self._hand(merge, True)
        if not self.seen_registry:
            self.seen_registry = True
            self.watch.stir.set()

    def _hand(self, merge: Merge, fresh: bool) -> None:
        live, now = self.live, self.now()
        listing = live.host_list.read(live.clock.now(), merge.merged(now), True)
        self.merge = merge
        live.put_blocking(EventKind.HOST_LIST, listing, True, fresh)
        held, kept = {}, {}
        for entry in live.host_list.entries.values():
            name = entry.host.partition("@")[0]
            bounds = merge.held(name, now)
            if bounds != FREE:
                held[entry.id] = bounds
            if classes := merge.kept(name):
                kept[entry.id] = sum(1 << live.terms.kind(kind) for kind in classes)
        # All that are held, each time: a host that was gone and came again has forgotten.
        for host, bounds in held.items():
            live.put_blocking(EventKind.WEIGHT_BOUNDS, host, *bounds)
        for host in self.held.keys() - held.keys():
            live.put_blocking(EventKind.WEIGHT_BOUNDS, host, *FREE)
        for host, kinds in kept.items():
            live.put_blocking(EventKind.EXCLUDED_CLASSES, host, kinds)
        for host in self.kept.keys() - kept.keys():
            live.put_blocking(EventKind.EXCLUDED_CLASSES, host, 0)
        self.held, self.kept = held, kept

    def _expire(self) -> None:
        """Hands the list on anew when a pin has ended."""
        before = self.now()
        while True:
            gevent.sleep(EXPIRY_LOOK)
            ended = [
                name
                for name, pin in self.merge.told.pins.items()
                if before < pin.until <= self.now()
            ]
            before = self.now()
            if ended:
                self.log.info("pins ended", hosts=sorted(ended))
                self._hand(self.merge, True)

    # the files' side

    def _run(self) -> None:
        again = 0.0
        while True:
            wait = self.terms.poll / SECOND
            if self.taking.due is not None:
                wait = max(0.005, self.taking.due - time.monotonic())
            self.watch.wait(wait)
            if self.store is not None and self.store.unwritten and time.monotonic() > again:
                self._keep(self.store.retry)
                again = time.monotonic() + STORE_AGAIN
            signature = self.pool.apply(self.watch.look)
            renamed = self.watch.renamed(signature)
            if signature is None and self.standing != "missing":
                self.standing = "missing"
                self.log.warning(
                    "servers' file is missing", stays=self.adoption.number if self.adoption else 0
                )
            if not self.taking.look(time.monotonic(), signature, renamed):
                continue
            try:
                self._read()
            except Exception as wrong:  # whatever a file brings about, the last good set stays and the watch goes on
                self.counts["failures"] += 1
                self.taking.due = None
                self._refuse("", [f"{type(wrong).__name__}: {wrong}"])

    def _read(self) -> None:
        begun = time.monotonic()
        found = self._apart()
        self.took = {"read_ms": round((time.monotonic() - begun) * 1000)}
        self.counts["readings"] += 1
        digest = found.get("digest", "")
        if "cause" in found:
            self._refuse("", [found["cause"]])
        verdict = self.taking.read(time.monotonic(), digest)
        if verdict == "same":
            self.standing = "adopted" if digest == self.taking.adopted else "refused"
            if digest == self.taking.adopted:
                self.refusal = {}
        if verdict != "take":
            return
        if "faults" in found:
            self.taking.refuse(digest)
            self._refuse(digest, found["faults"])
        else:
            self._consider(digest, found)

    def _apart(self) -> dict[str, Any]:
        """What the reading process says. Its standard library and parser only: it starts in a tenth of a second."""
        words = [
            sys.executable,
            "-m",
            "ironfall.files.reader",
            self.terms.path,
            str(self.terms.most),
        ]
        process = subprocess.Popen(
            [*words, self.taking.adopted], stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        try:
            told, cause = process.communicate(timeout=self.terms.read_time / SECOND)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return {"cause": f"reading it took over {self.terms.read_time / SECOND:g}s"}
        if process.returncode or len(told) > OUT_MOST:
            last = cause.decode("utf-8", "replace").strip().splitlines()[-1:]
            return {"cause": f"its reading ended with {process.returncode}: {' '.join(last)}"[:300]}
        found: dict[str, Any] = json.loads(told)
        return found

    def _consider(self, digest: str, found: dict[str, Any]) -> None:
        live, now = self.live, self.now()
        told = ServerSet.from_json(found["set"])
        first = self.adoption is None
        after = self.merge.adopt(told, now, first)
        # Nothing stands yet: neither the registry's list nor a set of ours.
        nothing = first and not self.merge.rows
        judged = check(
            self.merge,
            after,
            now,
            live.terms.name,
            live.terms.zones,
            live.terms.classes,
            live.terms.service.slow_start_time,
            Allowed(self.terms.remove, self.terms.cold),
            nothing,
        )
        self.notes = judged.notes
        if judged.problems:
            self.taking.refuse(digest)
            self._refuse(digest, judged.problems)
            return
        gevent.sleep(0)  # each of these takes a twentieth of a second for ten thousand hosts
        would = difference(
            self.merge, after, now, live.terms.service, live.terms.entries_per_second
        )
        summary = (
            f"{len(would.leave)} hosts leave, {len(would.join)} come, {len(would.weigh)} weights"
        )
        by = told.by or found["owner"]
        number = self.adoption.number + 1 if self.adoption else 1
        adoption = Adoption(number, now, by, digest, found["packed"], after.since, summary)
        # Durable first: a director that is killed here comes back with it, and has published nothing of it yet.
        store, begun = self.store, time.monotonic()
        if store is not None:
            self._keep(lambda: store.adopted(adoption))
        self.took["kept_ms"] = round((time.monotonic() - begun) * 1000)
        try:
            self._hand(after, True)
        except BadList as wrong:
            self.taking.refuse(digest)
            self._refuse(digest, [str(wrong)])
            return
        self.adoption, self.standing, self.refusal = adoption, "adopted", {}
        self.taking.took(digest)
        self.counts["adopted"] += 1
        self.log.info(
            "servers adopted",
            number=number,
            by=by,
            digest=digest,
            summary=summary,
            notes=judged.notes[:5],
            **self.took,
        )
        gevent.spawn_later(
            EFFECT_AFTER,
            self._effect,
            adoption,
            live.publication.version,
            live.channel.sent_entries,
            live.counts.get("returns", 0),
            self._withdrawn(),
        )

    def _withdrawn(self) -> int:
        return sum(n for what, n in self.live.counts.items() if what.startswith("withdrawals"))

    def _effect(
        self, adoption: Adoption, version: int, sent: float, returns: int, withdrawn: int
    ) -> None:
        live = self.live
        adoption.effect = (
            f"in {EFFECT_AFTER:g}s: versions {version} to {live.publication.version}, "
            f"{live.channel.sent_entries - sent:g} lines, {self._withdrawn() - withdrawn} withdrawals, "
            f"{live.counts.get('returns', 0) - returns} returns"
        )
        store = self.store
        if store is not None:
            self._keep(lambda: store.effect(adoption.number, adoption.effect))

    def _keep(self, write: Callable[[], None]) -> None:
        try:
            self.pool.apply(write)
            self.store_state = "good"
        except OSError as wrong:
            # It serves on: what is not kept is lost only if the director ends before the disk takes it.
            self.counts["store refusals"] += 1
            self.store_state = f"not kept yet: {wrong.strerror or wrong}"
            self.log.error("servers' store", cause=str(wrong))

    def _refuse(self, digest: str, causes: list[str]) -> None:
        if self.refusal.get("causes") != causes[:20]:
            self.log.warning(
                "servers refused",
                digest=digest,
                causes=causes[:5],
                stays=self.adoption.number if self.adoption else 0,
            )
        self.counts["refused"] += 1
        self.standing = "refused"
        self.refusal = {"digest": digest, "at": round(self.wall(), 1), "causes": causes[:20]}

    def status(self) -> dict[str, Any]:
        now, one = self.now(), self.adoption
        pins = {
            n: {
                "weight": p.weight,
                "owner": p.owner,
                "reason": p.reason,
                "left_s": round(p.until - now),
            }
            for n, p in self.merge.told.pins.items()
            if p.until > now
        }
        adopted = (
            {
                "number": one.number,
                "at": round(one.at, 1),
                "by": one.by,
                "digest": one.digest,
                "summary": one.summary,
            }
            if one
            else {}
        )
        return {
            "path": self.terms.path,
            "standing": self.standing,
            "adopted": adopted,
            "refused": self.refusal,
            "notes": self.notes[:20],
            "pins": pins,
            "store": self.store_state,
            "counts": dict(self.counts),
            "took": self.took,
        }

    @property
    def adoptions(self) -> list[Adoption]:
        if self.store is not None:
            return self.store.adoptions
        return [self.adoption] if self.adoption else []

    def history(self) -> list[dict[str, Any]]:
        return [
            {
                "number": a.number,
                "at": a.at,
                "by": a.by,
                "digest": a.digest,
                "summary": a.summary,
                "effect": a.effect,
            }
            for a in self.adoptions
        ]

    def texts(self, number: int) -> dict[str, str] | None:
        return next((a.texts for a in self.adoptions if a.number == number), None)
