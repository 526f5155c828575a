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
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from ironfall.decisions.engine import DecisionEngine
from ironfall.decisions.interface import ListedHost, RequestClass, ServiceSettings
from ironfall.decisions.time_units import SECOND

TICKS_PER_MS = 10
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
    admits_by_share=True,
    health_checks_allowed=False,
    health_check_price=0.02,
    cross_zone_price=0.0,
    gauges=("busy", "q"),
)
# The clock time at which scenarios begin.
BOOT = 1_000_000
SCENARIO_LENGTH = 60 * SECOND
# Scenarios have no proxies from this number up, and proxies confirm versions after this delay.
PROXY_COUNT = 4
CONFIRMATION_DELAY = 2_000
REQUEST_RATE = 10.0


def tenths(seconds: str) -> int:
    """Reads seconds as tenths of a millisecond.

    >>> tenths("1.5")
    15000
    """
    return round(float(seconds) * SECOND)


def host(name: str) -> bytes:
    """Returns the address of a host of a scenario."""
    return name.encode().rjust(6, b"\0")


def host_name(address: bytes) -> str:
    """Returns the name of a host of a scenario."""
    return address.decode().strip("\0")


def listing(word: str) -> ListedHost:
    """Reads an entry of the endpoint list.

    >>> listing("a:1~20")[1:]
    (1, True, 1.0, 1200000)
    """
    name, _, rest = word.partition(":")
    zone, _, started = rest.rstrip("!").partition("~")
    is_ready = not word.endswith("!")
    started_at = BOOT + tenths(started) if started else 0
    return ListedHost(host(name), int(zone), is_ready, 1.0, started_at)


@dataclass(frozen=True)
class Order:
    """An order of the engine, in the words of scenarios."""

    at: int
    verb: str
    arguments: tuple[str, ...]


@dataclass(frozen=True)
class Value:
    """A value that an order has set."""

    at: int
    key: tuple[str, ...]
    value: float


class Recorder:
    """Takes the engine's orders, and keeps the events that are due."""

    def __init__(self) -> None:
        self.now = 0
        self.due: list[tuple[int, int, list[str]]] = []
        self.orders: list[Order] = []
        self.values: list[Value] = []
        self.message_times: list[int] = []

    def schedule(self, at: int, words: list[str]) -> None:
        """Has an event delivered at a time; of one time, in the order of scheduling."""
        heapq.heappush(self.due, (at, len(self.orders) + len(self.due), words))

    def _order(self, verb: str, *arguments: bytes | int) -> None:
        words = tuple(host_name(a) if isinstance(a, bytes) else str(a) for a in arguments)
        self.orders.append(Order(self.now, verb, words))
        is_message = verb in ("withdraw", "return", "line", "admit")
        if is_message and self.now not in self.message_times[-1:]:
            self.message_times.append(self.now)

    def _set(self, value: float, *key: str) -> None:
        self.values.append(Value(self.now, key, value))

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        self._order("line", table, host)
        self._set(weight, "line", str(table), host_name(host))

    def assign(self, proxy: int, table: int, classes: int) -> None:
        self._order("bind", proxy, table)

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        self._order("withdraw" if is_withdrawn else "return", host)

    def admit(self, classes: int, admitted_share: float, attempts: int) -> None:
        self._order("admit", classes)
        for index in range(len(USUAL.classes)):
            if not classes or classes >> index & 1:
                self._set(admitted_share, "level", str(index))
                self._set(attempts, "tries", str(index))

    def health_check(self, host: bytes) -> None:
        self._order("probe", host)

    def request_confirmation(self, version: int) -> None:
        for proxy in range(PROXY_COUNT):
            applied = ["applied", str(proxy), str(version)]
            self.schedule(self.now + CONFIRMATION_DELAY, applied)

    def watch_hosts(self) -> None:
        self._order("watch")

    def set_timer(self, delay: int, token: int) -> None:
        self.schedule(self.now + delay, ["wake", str(token)])

    def forget(self, host: bytes) -> None:
        self._order("forget", host)


def _wake(engine: DecisionEngine, now: int, words: list[str]) -> None:
    engine.on_timer(now, int(words[0]))


def _complete_list(engine: DecisionEngine, now: int, words: list[str]) -> None:
    engine.on_host_list(now, map(listing, words), True, True)


def _cached_list(engine: DecisionEngine, now: int, words: list[str]) -> None:
    engine.on_host_list(now, map(listing, words), True, False)


def _list_change(engine: DecisionEngine, now: int, words: list[str]) -> None:
    engine.on_host_list(now, map(listing, words), False, True)


def _list_failed(engine: DecisionEngine, _now: int, _words: list[str]) -> None:
    engine.on_host_list_failed()


def _applied(engine: DecisionEngine, now: int, words: list[str]) -> None:
    engine.on_version_applied(now, int(words[0]), int(words[1]))


def _join(engine: DecisionEngine, now: int, words: list[str]) -> None:
    for proxy, zone in (word.split(":") for word in words):
        engine.on_proxy_joined(now, int(proxy), int(zone), REQUEST_RATE)


def _leave(engine: DecisionEngine, _now: int, words: list[str]) -> None:
    engine.on_proxy_left(int(words[0]))


def _upstream_report(engine: DecisionEngine, now: int, words: list[str]) -> None:
    zone, name, attempts, failures, latency_ms, *covered = words
    engine.on_upstream_report(
        now,
        int(zone),
        host(name),
        int(attempts),
        int(failures),
        int(latency_ms) * TICKS_PER_MS,
        tenths(covered[0]) if covered else SECOND,
        {},
    )


def _request_report(engine: DecisionEngine, now: int, words: list[str]) -> None:
    proxy, class_index, requests, *failures = map(int, words)
    engine.on_request_report(now, proxy, class_index, requests, failures[0] if failures else 0)


def _gauge_reading(engine: DecisionEngine, now: int, words: list[str]) -> None:
    name, waiting, age = words
    engine.on_gauge_reading(now, host(name), tenths(age), {"q": float(waiting)})


def _health_check(engine: DecisionEngine, now: int, words: list[str]) -> None:
    name, result, waiting = words
    engine.on_health_check(now, host(name), result == "ok", {"q": float(waiting)})


EVENTS: dict[str, Callable[[DecisionEngine, int, list[str]], None]] = {
    "wake": _wake,
    "list": _complete_list,
    "cached": _cached_list,
    "change": _list_change,
    "failed": _list_failed,
    "applied": _applied,
    "join": _join,
    "leave": _leave,
    "heard": _upstream_report,
    "came": _request_report,
    "gauged": _gauge_reading,
    "probe": _health_check,
}


def act(engine: DecisionEngine, now: int, words: list[str]) -> None:
    """Delivers an event, in the words of scenarios."""
    verb, *rest = words
    if verb not in EVENTS:
        raise ValueError(f"no such thing as {verb}")
    EVENTS[verb](engine, now, rest)


def _check_messages(limit: int, recorder: Recorder) -> None:
    times = recorder.message_times
    window = USUAL.message_window
    most = max((sum(first <= at < first + window for at in times) for first in times), default=0)
    assert most < limit, f"{most} messages in ten seconds"


def _check_value(words: list[str], recorder: Recorder) -> None:
    *key, operator, bound_text, _, seconds = words
    text, last = " ".join(words), BOOT + tenths(seconds)
    values = [v.value for v in recorder.values if v.key == tuple(key) and v.at <= last]
    assert values, f"{text}: never set"
    value, bound = values[-1], float(bound_text)
    holds = {"<": value < bound, ">": value > bound, "=": abs(value - bound) < 0.01}
    assert holds[operator], f"{text}: {value}"


def _check_order(words: list[str], recorder: Recorder) -> None:
    *pattern, _, first_text, _, last_text = words
    is_forbidden = pattern[0] == "never"
    if is_forbidden:
        del pattern[0]
    first, last = BOOT + tenths(first_text), BOOT + tenths(last_text)
    found = [
        (order.at - BOOT) / SECOND
        for order in recorder.orders
        if [order.verb, *order.arguments][: len(pattern)] == pattern and first <= order.at <= last
    ]
    assert bool(found) != is_forbidden, f"{' '.join(words)}: {found[:5]}"


def check(words: list[str], recorder: Recorder) -> None:
    """Checks what a line of a scenario expects."""
    if words[0] == "messages":
        _check_messages(int(words[2]), recorder)
    elif words[-2] == "at":
        _check_value(words, recorder)
    else:
        _check_order(words, recorder)


def _changed(settings: ServiceSettings, words: list[str]) -> ServiceSettings:
    """Returns settings with some fields changed, by words such as `message_limit=12`."""
    for name, value in (word.split("=") for word in words):
        kind = type(getattr(USUAL, name))
        settings = replace(settings, **{name: kind(float(value))})
    return settings


def play(text: str) -> None:
    """Plays a scenario, and checks what it expects."""
    recorder, settings, expected = Recorder(), USUAL, []
    for line in text.splitlines():
        words = line.partition("#")[0].split()
        if not words:
            continue
        if words[0] == "terms":
            settings = _changed(settings, words[1:])
        elif words[0] == "expect":
            expected.append(words[1:])
        elif words[0] == "at":
            recorder.schedule(BOOT + tenths(words[1]), words[2:])
        else:
            for second in range(int(words[1]), int(words[3]) + 1):
                recorder.schedule(BOOT + tenths(str(second)), words[4:])
    recorder.now = BOOT
    engine = DecisionEngine(recorder, settings, random.Random(1), BOOT)
    while recorder.due[0][0] <= BOOT + SCENARIO_LENGTH:
        recorder.now, _, words = heapq.heappop(recorder.due)
        act(engine, recorder.now, words)
    for words in expected:
        check(words, recorder)


def main() -> int:
    """Plays all scenarios, and the examples of this module."""
    passed, failed = 0, doctest.testmod(sys.modules[__name__]).failed
    for path in sorted(Path(__file__).with_name("scenarios").glob("*.txt")):
        try:
            play(path.read_text())
            passed += 1
        except Exception as error:
            failed += 1
            print(f"{path.stem}: {type(error).__name__}: {error}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
