"""Plays every scenario in tests/scenarios/ and prints how many passed.

A scenario is lines of words; `#` starts a comment; times are seconds; `a:1` is host a in zone 1.

    terms message_limit=12                what differs from the usual terms
    at 0 list a:0 b:1 c:1~20              the whole list (or `change`); c started at 20 s; `c:1!` is not ready
    at 0 join 1:0 2:1                     proxies and their zones; also `leave 1`
    from 1 to 9 heard 0 a 8 2 300         each second: 8 tries from zone 0, 2 failed, good ones took 300 ms;
                                          a further word: the seconds that it covers, in place of one
    from 1 to 9 came 1 0 40 8             each second: proxy 1 was brought 40 exchanges of class 0, lost 8
    at 3 probe a ok 20                    a probe of a was answered, 20 wait (`lost`: it was not)
    at 3 gauged a 20 1.5                  others read a second and a half ago that 20 wait there
    expect withdraw a from 3 to 6         such an order within that time; `expect never ...` for none
    expect line 0 a < 0.5 at 9            the weight standing in table 0; also `level CLASS`, `tries CLASS`
    expect messages < 21                  the most moments with orders to all within any ten seconds
"""

import doctest
import heapq
import random
import sys
from dataclasses import replace
from pathlib import Path

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost, RequestClass, ServiceSettings

USUAL = ServiceSettings(
    zones=2,
    requests_host_list=False,
    drain_grace=30_000,
    classes=(
        RequestClass(10_000, 40_000, 1.0, "always", "all", 0),
        RequestClass(10_000, 40_000, 3.0, "never", "all", 0),
        RequestClass(10_000, 40_000, 2.0, "keyed", "zone", 90_000),
    ),
    slow_start_time=100_000,
    slow_start_share=0.2,
    unassigned_limit=60_000,
    queue_limit=1000.0,
    message_overhead=6.0,
    message_limit=20,
    message_window=100_000,
    max_message_delay=5_000,
    report_interval=10_000,
    proxies=2,
    admits=True,
    health_checks_allowed=False,
    health_check_price=0.02,
    cross_zone_price=0.0,
    gauges=("busy", "q"),
)
BOOT = 1_000_000  # a clock need not start at nought


def tenths(seconds: str) -> int:
    """
    >>> tenths("1.5")
    15000
    """
    return round(float(seconds) * 10_000)


def host(name: str) -> bytes:
    return name.encode().rjust(6, b"\0")


def listing(word: str) -> ListedHost:
    """
    >>> listing("a:1~20")[1:]
    (1, True, 1.0, 1200000)
    """
    name, _, rest = word.partition(":")
    place, _, started = rest.rstrip("!").partition("~")
    ready, at = not word.endswith("!"), BOOT + tenths(started) if started else 0
    return ListedHost(host(name), int(place), ready, 1.0, at)


class Recorder:
    """Stands in for the adapter: keeps what stands and when each order was given."""

    def __init__(self) -> None:
        self.now = 0
        self.due: list[tuple[int, int, list[str]]] = []
        self.given: list[tuple[int, str, tuple[str, ...]]] = []
        self.values: list[tuple[int, tuple[str, ...], float]] = []
        self.moments: list[int] = []

    def _order(self, what: str, *about: bytes | int) -> None:
        words = tuple(a.decode().strip("\0") if isinstance(a, bytes) else str(a) for a in about)
        self.given.append((self.now, what, words))
        if what in ("withdraw", "return", "line", "admit") and self.now not in self.moments[-1:]:
            self.moments.append(self.now)

    def _later(self, at: int, words: list[str]) -> None:
        heapq.heappush(self.due, (at, len(self.given) + len(self.due), words))

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        self._order("line", table, host)
        self.values.append((self.now, ("line", str(table), host.decode().strip("\0")), weight))

    def assign(self, proxy: int, table: int, classes: int) -> None:
        self._order("bind", proxy, table)

    def withdraw(self, host: bytes, out: bool) -> None:
        self._order("withdraw" if out else "return", host)

    def admit(self, classes: int, level: float, tries: int) -> None:
        self._order("admit", classes)
        for k in range(len(USUAL.classes)):
            if not classes or classes >> k & 1:
                self.values += [
                    (self.now, ("level", str(k)), level),
                    (self.now, ("tries", str(k)), tries),
                ]

    def health_check(self, host: bytes) -> None:
        self._order("probe", host)

    def request_confirmation(self, version: int) -> None:
        for proxy in range(4):  # scenarios have no more
            self._later(self.now + 2_000, ["applied", str(proxy), str(version)])

    def watch_hosts(self) -> None:
        self._order("watch")

    def set_timer(self, delay: int, token: int) -> None:
        self._later(self.now + delay, ["wake", str(token)])

    def forget(self, host: bytes) -> None:
        self._order("forget", host)


def act(director: DecisionEngine, now: int, words: list[str]) -> None:
    what, *rest = words
    if what == "wake":
        director.on_timer(now, int(rest[0]))
    elif what in ("list", "cached", "change"):
        director.on_host_list(now, map(listing, rest), what != "change", what != "cached")
    elif what == "applied":
        director.on_version_applied(now, int(rest[0]), int(rest[1]))
    elif what == "failed":
        director.on_host_list_failed()
    elif what == "join":
        for proxy, place in (word.split(":") for word in rest):
            director.on_proxy_joined(now, int(proxy), int(place), 10.0)
    elif what == "leave":
        director.on_proxy_left(int(rest[0]))
    elif what == "heard":
        zone, tries, bad, cost = int(rest[0]), int(rest[2]), int(rest[3]), int(rest[4]) * 10
        covers = tenths(rest[5]) if len(rest) > 5 else 10_000
        director.on_upstream_report(now, zone, host(rest[1]), tries, bad, cost, covers, {})
    elif what == "came":
        numbers = [int(word) for word in [*rest, "0"][:4]]
        director.on_request_report(now, numbers[0], numbers[1], numbers[2], numbers[3])
    elif what == "gauged":
        director.on_gauge_reading(now, host(rest[0]), tenths(rest[2]), {"q": float(rest[1])})
    elif what == "probe":
        director.on_health_check(now, host(rest[0]), rest[1] == "ok", {"q": float(rest[2])})
    else:
        raise ValueError(f"no such thing as {what}")


def check(words: list[str], seen: Recorder) -> None:
    text = " ".join(words)
    if words[0] == "messages":
        most = max(
            (sum(m <= x < m + 100_000 for x in seen.moments) for m in seen.moments), default=0
        )
        assert most < int(words[2]), f"{most} messages in ten seconds"
    elif words[-2] == "at":
        last = BOOT + tenths(words[-1])
        standing = [v for at, key, v in seen.values if key == tuple(words[:-4]) and at <= last]
        assert standing, f"{text}: never set"
        value, bound = standing[-1], float(words[-3])
        holds = {"<": value < bound, ">": value > bound, "=": abs(value - bound) < 0.01}
        assert holds[words[-4]], f"{text}: {value}"
    else:
        never, about = words[0] == "never", words[words[0] == "never" : -4]
        first, last = BOOT + tenths(words[-3]), BOOT + tenths(words[-1])
        given = [at for at, what, who in seen.given if [what, *who][: len(about)] == about]
        found = [at for at in given if first <= at <= last]
        assert bool(found) != never, f"{text}: {[(at - BOOT) / 10_000 for at in found][:5]}"


def play(text: str) -> None:
    seen, terms, expected = Recorder(), USUAL, []
    for line in text.splitlines():
        words = line.partition("#")[0].split()
        if not words:
            continue
        if words[0] == "terms":
            for name, value in (word.split("=") for word in words[1:]):
                terms = replace(terms, **{name: type(getattr(USUAL, name))(float(value))})
        elif words[0] == "expect":
            expected.append(words[1:])
        elif words[0] == "at":
            seen._later(BOOT + tenths(words[1]), words[2:])
        else:
            for second in range(int(words[1]), int(words[3]) + 1):
                seen._later(BOOT + tenths(str(second)), words[4:])
    seen.now = BOOT
    director = DecisionEngine(seen, terms, random.Random(1), BOOT)
    while seen.due[0][0] <= BOOT + tenths("60"):
        seen.now, _, words = heapq.heappop(seen.due)
        act(director, seen.now, words)
    for words in expected:
        check(words, seen)


def main() -> int:
    passed, failed = 0, doctest.testmod(sys.modules[__name__]).failed
    for path in sorted(Path(__file__).with_name("scenarios").glob("*.txt")):
        try:
            play(path.read_text())
            passed += 1
        except Exception as wrong:
            failed += 1
            print(f"{path.stem}: {type(wrong).__name__}: {wrong}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
