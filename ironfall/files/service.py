"""Operators' files in a running director: watches, reads, checks, adopts, stores and shows them."""

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
from ironfall.files.checks import ChangeLimits, check, difference
from ironfall.files.merge import UNBOUNDED, InvalidRowsError, Merge
from ironfall.files.servers import ServerSet
from ironfall.files.store import Adoption, Store
from ironfall.files.taking import ChangeDetector
from ironfall.files.terms import FilesTerms
from ironfall.files.watch import Watch
from ironfall.storage.disk import Folder

UNITS_PER_SECOND = 10_000  # of the times in the settings
EFFECT_DELAY_S = 10.0  # from an adoption to the record of its effect
EXPIRY_CHECK_INTERVAL_S = 0.2
STORE_RETRY_INTERVAL_S = 5.0
MAX_READER_OUTPUT_BYTES = 256 * 2**20


class Files:
    """The operators' files of a director. Decisions are left to the director's event loop.

    Attributes:
        director: The director's event loop and state.
        terms: The settings.
        wall: The machine's time of day, in seconds since 1970.
        started_at: Time of day and monotonic time at the start, in seconds.
        merge: The registry's list and the adopted set.
        weight_bounds: Published bounds of learned weights, by host.
        excluded_classes: Published bit masks of the classes that a host must not serve, by host.
        change_detector: Decides when to read and adopt.
        counts: Events since the start, for the status.
        refusal: The last refused content, empty after the next adoption.
        notes: On the last set that was checked.
        timings: Of the last reading, in milliseconds.
        file_state: `none yet`, `adopted`, `refused` or `missing`.
        seen_registry: Whether the registry has answered.
        pool: Thread for blocking calls.
        store: None if there is none or it can't be read.
        store_state: For the status.
        adoption: The current one.
        greenlets: That run until `stop`.
    """

    def __init__(
        self, director: Any, terms: FilesTerms, log: Any, wall: Callable[[], float] = time.time
    ) -> None:
        """Starts nothing yet."""
        self.director, self.terms, self.log, self.wall = director, terms, log, wall
        self.started_at = wall(), time.monotonic()
        self.merge = Merge()
        self.weight_bounds: dict[bytes, tuple[float, float]] = {}
        self.excluded_classes: dict[bytes, int] = {}
        self.change_detector = ChangeDetector(terms.settle / UNITS_PER_SECOND)
        self.counts: Counter[str] = Counter()
        self.refusal: dict[str, Any] = {}
        self.notes: list[str] = []
        self.timings: dict[str, int] = {}
        self.file_state = "none yet"
        self.seen_registry = False
        self.pool = ThreadPool(1)
        self.store: Store | None = None
        self.store_state = "none" if not terms.store else "good"
        self.adoption: Adoption | None = None
        self.greenlets: list[gevent.Greenlet] = []

    # Start and stop

    def start(self) -> None:
        """Publishes the last adopted set, before any proxy can join, and starts to watch."""
        if self.terms.store:
            self.pool.apply(self._open_store)
        if self.adoption:
            self.merge = Merge({}, self.adoption.server_set, self.adoption.since)
            self.change_detector.set_adopted(self.adoption.digest)
            self.log.info(
                "stored server set restored", number=self.adoption.number, by=self.adoption.by
            )
            # A stored set is not fresh: it is older than this start.
            if self.adoption.server_set.hosts:
                self._publish(self.merge, is_fresh=False)
        self.watch = Watch(self.terms.path, self.terms.poll / UNITS_PER_SECOND)
        self.greenlets = [
            gevent.spawn(self._watch_files),
            gevent.spawn(self._publish_at_pin_expiry),
        ]

    def _open_store(self) -> None:
        try:
            self.folder = Folder(Path(self.terms.store))
            store = Store(self.folder)
            self.adoption = store.open()
            self.store = store
        except OSError as error:
            self.store_state = f"can't be read: {error}"
            self.log.error("server set store can't be read", cause=str(error))
            return
        for fault in store.faults:
            self.log.warning("fault in server set store", fault=fault)

    def stop(self) -> None:
        """Stops watching and closes the store."""
        gevent.killall(self.greenlets)
        self.watch.stop()
        if self.store is not None:
            self.pool.apply(self.folder.close)
        self.pool.kill()

    def now(self) -> float:
        """Returns the time of day, in seconds since 1970, by the clock's setting at the start.

        So a change of the machine's clock neither ends nor prolongs pins, and does not change the
        ages of hosts.
        """
        return self.started_at[0] + time.monotonic() - self.started_at[1]

    # The registry's list

    def registry(self, rows: Any, is_complete: bool) -> None:
        """Merges an answer of the registry and passes it to the director.

        Args:
            rows: The answer's hosts.
            is_complete: Whether they are all hosts, not only those that changed.

        Raises:
            BadList: The answer is malformed; nothing has changed.
        """
        try:
            merge = self.merge.with_registry_rows(rows, is_complete)
        except InvalidRowsError as error:
            raise BadList(str(error)) from None
        self._publish(merge, True)
        if not self.seen_registry:
            self.seen_registry = True
            self.watch.changed.set()

    def _publish(self, merge: Merge, is_fresh: bool) -> None:
        director, now = self.director, self.now()
        listing = director.host_list.read(director.clock.now(), merge.merged_rows(now), True)
        self.merge = merge
        director.put_blocking(EventKind.HOST_LIST, listing, True, is_fresh)
        weight_bounds, excluded_classes = {}, {}
        for entry in director.host_list.entries.values():
            name = entry.host.partition("@")[0]
            bounds = merge.weight_bounds(name, now)
            if bounds != UNBOUNDED:
                weight_bounds[entry.id] = bounds
            if classes := merge.excluded_classes(name):
                excluded_classes[entry.id] = sum(1 << director.terms.kind(kind) for kind in classes)
        # All bounds are sent each time, as a host that left and returned has lost its own.
        for host, bounds in weight_bounds.items():
            director.put_blocking(EventKind.WEIGHT_BOUNDS, host, *bounds)
        for host in self.weight_bounds.keys() - weight_bounds.keys():
            director.put_blocking(EventKind.WEIGHT_BOUNDS, host, *UNBOUNDED)
        for host, kinds in excluded_classes.items():
            director.put_blocking(EventKind.EXCLUDED_CLASSES, host, kinds)
        for host in self.excluded_classes.keys() - excluded_classes.keys():
            director.put_blocking(EventKind.EXCLUDED_CLASSES, host, 0)
        self.weight_bounds, self.excluded_classes = weight_bounds, excluded_classes

    def _publish_at_pin_expiry(self) -> None:
        """Publishes the list again when a pin expires."""
        before = self.now()
        while True:
            gevent.sleep(EXPIRY_CHECK_INTERVAL_S)
            expired = [
                name
                for name, pin in self.merge.server_set.pins.items()
                if before < pin.until <= self.now()
            ]
            before = self.now()
            if expired:
                self.log.info("pins expired", hosts=sorted(expired))
                self._publish(self.merge, True)

    # The files

    def _watch_files(self) -> None:
        retry_store_at = 0.0
        while True:
            wait = self.terms.poll / UNITS_PER_SECOND
            if self.change_detector.next_read_at is not None:
                wait = max(0.005, self.change_detector.next_read_at - time.monotonic())
            self.watch.wait(wait)
            if (
                self.store is not None
                and self.store.unwritten
                and time.monotonic() > retry_store_at
            ):
                self._write_to_store(self.store.retry)
                retry_store_at = time.monotonic() + STORE_RETRY_INTERVAL_S
            signature = self.pool.apply(self.watch.read_signature)
            renamed = self.watch.was_renamed(signature)
            if signature is None and self.file_state != "missing":
                self.file_state = "missing"
                self.log.warning(
                    "server set file missing, keeping the adopted set",
                    stays=self.adoption.number if self.adoption else 0,
                )
            if not self.change_detector.observe(time.monotonic(), signature, renamed):
                continue
            try:
                self._read_files()
            # Whatever a file causes, the adopted set stays and the watch goes on.
            except Exception as error:
                self.counts["failures"] += 1
                self.change_detector.next_read_at = None
                self._refuse("", [f"{type(error).__name__}: {error}"])

    def _read_files(self) -> None:
        began_at = time.monotonic()
        found = self._run_reader()
        self.timings = {"read_ms": round((time.monotonic() - began_at) * 1000)}
        self.counts["readings"] += 1
        digest = found.get("digest", "")
        if "cause" in found:
            self._refuse("", [found["cause"]])
        verdict = self.change_detector.on_read(time.monotonic(), digest)
        if verdict == "same":
            self.file_state = "adopted" if digest == self.change_detector.adopted else "refused"
            if digest == self.change_detector.adopted:
                self.refusal = {}
        if verdict != "take":
            return
        if "faults" in found:
            self.change_detector.set_refused(digest)
            self._refuse(digest, found["faults"])
        else:
            self._check_and_adopt(digest, found)

    def _run_reader(self) -> dict[str, Any]:
        """Returns the output of a reader process, or a cause if it failed.

        The reader imports only the standard library and the parser, so it starts within 0.1 s.
        """
        command = [
            sys.executable,
            "-m",
            "ironfall.files.reader",
            self.terms.path,
            str(self.terms.most),
        ]
        process = subprocess.Popen(
            [*command, self.change_detector.adopted], stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        try:
            output, errors = process.communicate(timeout=self.terms.read_time / UNITS_PER_SECOND)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return {"cause": f"reading took over {self.terms.read_time / UNITS_PER_SECOND:g}s"}
        if process.returncode or len(output) > MAX_READER_OUTPUT_BYTES:
            last = errors.decode("utf-8", "replace").strip().splitlines()[-1:]
            return {"cause": f"the reader exited with {process.returncode}: {' '.join(last)}"[:300]}
        result: dict[str, Any] = json.loads(output)
        return result

    def _check_and_adopt(self, digest: str, found: dict[str, Any]) -> None:
        director, now = self.director, self.now()
        server_set = ServerSet.from_json(found["set"])
        is_first = self.adoption is None
        new_merge = self.merge.adopt(server_set, now, is_first)
        # Neither a registry's list nor a set is in effect yet.
        is_first_state = is_first and not self.merge.rows
        result = check(
            self.merge,
            new_merge,
            now,
            director.terms.name,
            director.terms.zones,
            director.terms.classes,
            director.terms.service.slow_start_time,
            ChangeLimits(self.terms.remove, self.terms.cold),
            is_first_state,
        )
        self.notes = result.notes
        if result.problems:
            self.change_detector.set_refused(digest)
            self._refuse(digest, result.problems)
            return
        gevent.sleep(0)  # each of these steps takes 50 ms for ten thousand hosts
        change = difference(
            self.merge, new_merge, now, director.terms.service, director.terms.entries_per_second
        )
        summary = (
            f"{len(change.leaving)} hosts leave, {len(change.joining)} come, "
            f"{len(change.reweighted)} weights"
        )
        by = server_set.by or found["owner"]
        number = self.adoption.number + 1 if self.adoption else 1
        adoption = Adoption(
            number, now, by, digest, found["packed"], new_merge.first_named_at, summary
        )
        # Stored before it is published: a director that is killed in between restarts with it.
        store, began_at = self.store, time.monotonic()
        if store is not None:
            self._write_to_store(lambda: store.adopted(adoption))
        self.timings["kept_ms"] = round((time.monotonic() - began_at) * 1000)
        try:
            self._publish(new_merge, True)
        except BadList as error:
            self.change_detector.set_refused(digest)
            self._refuse(digest, [str(error)])
            return
        self.adoption, self.file_state, self.refusal = adoption, "adopted", {}
        self.change_detector.set_adopted(digest)
        self.counts["adopted"] += 1
        self.log.info(
            "server set adopted",
            number=number,
            by=by,
            digest=digest,
            summary=summary,
            notes=result.notes[:5],
            **self.timings,
        )
        gevent.spawn_later(
            EFFECT_DELAY_S,
            self._record_effect,
            adoption,
            director.publication.version,
            director.channel.sent_entries,
            director.counts.get("returns", 0),
            self._withdrawal_count(),
        )

    def _withdrawal_count(self) -> int:
        return sum(n for name, n in self.director.counts.items() if name.startswith("withdrawals"))

    def _record_effect(
        self, adoption: Adoption, version: int, sent: float, returns: int, withdrawn: int
    ) -> None:
        director = self.director
        adoption.effect = (
            f"in {EFFECT_DELAY_S:g}s: versions {version} to {director.publication.version}, "
            f"{director.channel.sent_entries - sent:g} lines, "
            f"{self._withdrawal_count() - withdrawn} withdrawals, "
            f"{director.counts.get('returns', 0) - returns} returns"
        )
        store = self.store
        if store is not None:
            self._write_to_store(lambda: store.effect(adoption.number, adoption.effect))

    def _write_to_store(self, write: Callable[[], None]) -> None:
        try:
            self.pool.apply(write)
            self.store_state = "good"
        except OSError as error:
            # Serves on; the records are lost only if the director stops before the disk takes them.
            self.counts["store refusals"] += 1
            self.store_state = f"not stored yet: {error.strerror or error}"
            self.log.error("server set not stored, will retry", cause=str(error))

    def _refuse(self, digest: str, causes: list[str]) -> None:
        if self.refusal.get("causes") != causes[:20]:
            self.log.warning(
                "server set refused, keeping the adopted set",
                digest=digest,
                causes=causes[:5],
                stays=self.adoption.number if self.adoption else 0,
            )
        self.counts["refused"] += 1
        self.file_state = "refused"
        self.refusal = {"digest": digest, "at": round(self.wall(), 1), "causes": causes[:20]}

    def status(self) -> dict[str, Any]:
        """Returns the state as JSON, for the director's status."""
        now, adoption = self.now(), self.adoption
        pins = {
            name: {
                "weight": pin.weight,
                "owner": pin.owner,
                "reason": pin.reason,
                "left_s": round(pin.until - now),
            }
            for name, pin in self.merge.server_set.pins.items()
            if pin.until > now
        }
        adopted = (
            {
                "number": adoption.number,
                "at": round(adoption.at, 1),
                "by": adoption.by,
                "digest": adoption.digest,
                "summary": adoption.summary,
            }
            if adoption
            else {}
        )
        return {
            "path": self.terms.path,
            "standing": self.file_state,
            "adopted": adopted,
            "refused": self.refusal,
            "notes": self.notes[:20],
            "pins": pins,
            "store": self.store_state,
            "counts": dict(self.counts),
            "took": self.timings,
        }

    @property
    def adoptions(self) -> list[Adoption]:
        """The known adoptions, oldest first."""
        if self.store is not None:
            return self.store.adoptions
        return [self.adoption] if self.adoption else []

    def history(self) -> list[dict[str, Any]]:
        """Returns the known adoptions as JSON, without their texts."""
        return [
            {
                "number": adoption.number,
                "at": adoption.at,
                "by": adoption.by,
                "digest": adoption.digest,
                "summary": adoption.summary,
                "effect": adoption.effect,
            }
            for adoption in self.adoptions
        ]

    def texts(self, number: int) -> dict[str, str] | None:
        """Returns the fragments of an adoption by name; None if it is not known."""
        return next(
            (adoption.texts for adoption in self.adoptions if adoption.number == number), None
        )
