"""What a proxy met at each host and what came to it, added up until it is reported. No I/O."""

from dataclasses import dataclass, field

from ironfall.api.exchange import NAMES
from ironfall.generated import ironfall_pb2 as pb

HOSTS_MOST = 5_000  # hosts met between two reports; the tries of more are counted under none


@dataclass(slots=True)
class Met:
    tries: int = 0
    failed: int = 0
    good_us: int = 0
    gauges: dict[str, float] = field(default_factory=dict)


class Gathered:
    """Sums since the last report that was made."""

    def __init__(self, now: int, classes: int) -> None:
        self.classes = classes
        self.number = 0
        self._start(now)

    def _start(self, now: int) -> None:
        self.since = now
        self.met: dict[str, Met] = {}
        self.came = [[0, 0] for _ in range(self.classes)]  # came, lost

    def tried(self, host: str, good: bool, took: int, gauges: dict[str, float]) -> None:
        it = self.met.get(host)
        if it is None:
            if len(self.met) >= HOSTS_MOST:
                return
            it = self.met[host] = Met()
        it.tries += 1
        it.failed += not good
        it.good_us += took * 100 if good else 0
        it.gauges = gauges or it.gauges

    def report(self, now: int, session: str) -> pb.Sums:
        """The next numbered report; what comes from here on goes into the one after it."""
        self.number += 1
        sums = pb.Sums(
            session=session, number=self.number, covers_ms=max(1, (now - self.since) // 10)
        )
        for host, it in self.met.items():
            gauges = {wire: it.gauges[name] for wire, name in NAMES.items() if name in it.gauges}
            sums.met.append(
                pb.Met(
                    host=host,
                    tries=it.tries,
                    failed=it.failed,
                    good_us=it.good_us,
                    gauges=pb.Gauges(**gauges),
                )
            )
        for kind, (came, lost) in enumerate(self.came):
            if came:
                sums.came.append(pb.Came(kind=kind, came=came, lost=lost))
        self._start(now)
        return sums
