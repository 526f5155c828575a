"""The terms of a service as its owner and operators agreed on them, read from S-expressions and checked whole.

`read_terms(file, text)` gives `Terms` or raises `Unreadable` with every fault's file, line and column. Times in
the result are whole tenths of a millisecond, sizes bytes. `docs/terms.md` lists the words.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ironfall.files.terms import FilesTerms
from ironfall.interface import ExchangeClass, ServiceTerms
from ironfall.metrics.mapping import fault
from ironfall.metrics.point import Malformed
from ironfall.metrics.retention import archives
from ironfall.metrics.terms import MetricsTerms
from ironfall.sexp import Fault, Node, Source, Unreadable

__all__ = ["Fault", "Limits", "ProxyTerms", "Terms", "Unreadable", "read_terms", "show"]

SECOND = 10_000
UNITS = {"ms": 10.0, "s": float(SECOND), "min": 60.0 * SECOND}
NUMBERS = 65_535  # that a director has for its proxies
SIZES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
# What the module calls its gauges, by the operators' words.
GAUGES = {"util": "busy", "queue": "q", "inflight": "rif", "latency": "lat_ms"}


@dataclass(frozen=True)
class Limits:
    """Bounds on what peers may ask of a director, each with an answer of its own when it is met (docs/api.md)."""

    sessions: int = 2_000
    joining: int = 300  # joined, and their first poll has not come: more are asked to come later
    held: int = 12_000  # connections at once
    body: int = 256 * 1024
    header_time: int = 2 * SECOND  # for a whole request to come in
    idle: int = 60 * SECOND  # a connection without a request
    write_time: int = 3 * SECOND  # a reader slower than that is cut
    wait: int = 20 * SECOND  # the longest a poll is held
    lapse: int = 4 * SECOND  # a session without a poll and without a held one ends after it
    polls: int = 40  # polls a second of one session, over a burst of twice that
    events: int = 20_000  # waiting for a turn
    versions: int = 2_000  # history kept for deltas
    entries: int = 50_000  # changed lines kept for deltas


@dataclass(frozen=True)
class ProxyTerms:
    """What a proxy does by itself, whatever its tables say."""

    usual_tries: int = 1  # the way of trying again where none was ordered
    try_share: float = 1.2  # a try that may have a next one waits this many times the expected time
    shun_after: int = 0  # own failures in a row; 0: shuns nothing
    shun_time: int = 0
    streams: int = 100  # exchanges at once on a connection
    connect_time: int = 2_500
    standing: int = 6  # hosts of the table it starts with


@dataclass(frozen=True)
class Terms:
    """All that is read at start. `service` is what the decisions are handed."""

    name: str
    service: ServiceTerms
    zones: tuple[str, ...]
    classes: tuple[str, ...]
    lines_each_second: float  # the channel's pace
    report_lines: float  # lines of reports a second that the decisions are given
    listen: tuple[str, int]
    registry: tuple[str, int]
    probe_timeout: int
    fall_multiple: float
    fall_time: int
    limits: Limits
    proxy: ProxyTerms
    metrics: MetricsTerms
    files: FilesTerms

    def zone(self, name: str) -> int:
        return self.zones.index(name)

    def kind(self, name: str) -> int:
        return self.classes.index(name)


class _Form:
    """A list `(head word...)` read word by word; what is left over at the end is unknown."""

    def __init__(self, source: Source, node: Node, skip: int = 1) -> None:
        self.source, self.node = source, node
        self.lists: dict[str, list[Node]] = {}
        self.values = [n for n in node.parts[skip:] if not isinstance(n.value, list)]
        self.asked: set[str] = set()
        for part in node.parts[skip:]:
            if isinstance(part.value, list):
                if not part.head:
                    source.fault(part.at, "expected a list that starts with a word")
                self.lists.setdefault(part.head, []).append(part)

    def all(self, head: str) -> list[Node]:
        self.asked.add(head)
        return self.lists.get(head, [])

    def form(self, head: str, must: bool = True) -> "_Form":
        found = self.all(head)
        if len(found) > 1:
            self.source.fault(found[1].at, f"({head} ...) stands here a second time")
        if not found and must:
            self.source.fault(self.node.at, f"({head} ...) is missing in ({self.node.head} ...)")
        return _Form(self.source, found[0] if found else Node([], self.node.at))

    def values_of(self, head: str, must: bool) -> list[Node] | None:
        found = self.all(head)
        if len(found) > 1:
            self.source.fault(found[1].at, f"({head} ...) stands here a second time")
        if found:
            return found[0].parts[1:]
        if must and self.node.parts:
            self.source.fault(self.node.at, f"({head} ...) is missing in ({self.node.head} ...)")
        return None

    def get(self, head: str, read: Callable[[Source, Node], Any], usual: Any = None) -> Any:
        """The one value of `(head value)`; `usual` where it may be left out, else it must be there."""
        values = self.values_of(head, usual is None)
        if values is None:
            return usual if usual is not None else _ZERO[read]
        if len(values) != 1:
            at = self.all(head)[0].at
            self.source.fault(at, f"({head} ...) takes one value, not {len(values)}")
            return _ZERO[read]
        return read(self.source, values[0])

    def done(self) -> None:
        for head, nodes in self.lists.items():
            if head and head not in self.asked:
                known = ", ".join(sorted(self.asked)) or "none"
                self.source.fault(nodes[0].at, f"unknown word {head}; expected one of: {known}")


def _united(source: Source, node: Node, units: dict[str, Any], what: str) -> float | None:
    text = node.word
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ%")
    unit = text[len(digits) :]
    try:
        number = float(digits)
    except ValueError:
        number = math.nan
    if unit not in units or not math.isfinite(number) or number < 0:
        shown = text or repr(node.value)
        source.fault(node.at, f"expected {what} with a unit ({', '.join(units)}), not {shown}")
        return None
    return float(number * units[unit])


def _time(source: Source, node: Node) -> int:
    return round(_united(source, node, UNITS, "a time") or 0)


def _size(source: Source, node: Node) -> int:
    return round(_united(source, node, SIZES, "a size") or 0)


def _number(source: Source, node: Node) -> float:
    if isinstance(node.value, int | float) and node.value >= 0 and math.isfinite(node.value):
        return float(node.value)
    source.fault(node.at, f"expected a number from 0 up, without a unit, not {node.word or node.value!r}")
    return 0.0


def _count(source: Source, node: Node) -> int:
    if isinstance(node.value, int) and node.value >= 0:
        return node.value
    source.fault(node.at, f"expected a whole number from 0 up, not {node.word or node.value!r}")
    return 0


def _address(source: Source, node: Node) -> tuple[str, int]:
    host, _, port = node.value.rpartition(":") if isinstance(node.value, str) else ("", "", "")
    if host and port.isdigit() and int(port) < 65536:
        return host, int(port)
    source.fault(node.at, 'expected an address such as "127.0.0.1:7400"')
    return "", 0


def _part(source: Source, node: Node) -> float:
    part = (_united(source, node, {"%": 0.01}, "a part") or 0.0)
    if part > 1:
        source.fault(node.at, f"expected a part of at most 100%, not {node.word}")
    return part


def _yes(source: Source, node: Node) -> bool:
    return _one_of("yes", "no")(source, node) == "yes"


def _one_of(*words: str) -> Callable[[Source, Node], str]:
    def read(source: Source, node: Node) -> str:
        if node.word in words:
            return node.word
        source.fault(node.at, f"expected one of {', '.join(words)}, not {node.word or node.value!r}")
        return words[0]

    _ZERO[read] = words[0]
    return read


def _text(source: Source, node: Node) -> str:
    if isinstance(node.value, str) and node.value:
        return node.value
    source.fault(node.at, f"expected a text in quotes, not {node.word or repr(node.value)}")
    return ""


_ZERO: dict[Any, Any] = {_text: "", _time: 0, _size: 0, _number: 0.0, _count: 0, _address: ("", 0), _yes: False,
                          _part: 0.0}
_REPEATABLE = _one_of("never", "keyed", "always")
_SCOPE = _one_of("all", "zone", "cell")
_LEVELS = _one_of("share", "none")
_MUST = _one_of("plain", "signed", "encrypted")
_LIST = _one_of("watched", "asked")


def _class(source: Source, node: Node) -> tuple[str, ExchangeClass]:
    form = _Form(source, node)
    name = form.values[0].value if form.values and isinstance(form.values[0].value, str) else ""
    if not name:
        source.fault(node.at, 'expected (class "name" ...)')
    kind = ExchangeClass(
        expected_time=form.get("expected", _time),
        abandon_time=form.get("abandon", _time),
        earnings=form.get("earnings", _number, 1.0),
        repeatable=form.get("repeatable", _REPEATABLE, "never"),
        key_scope=form.get("key-scope", _SCOPE, "all"),
        key_life=form.get("key-life", _time, 0),
    )
    if kind.repeatable == "keyed" and not kind.key_life:
        source.fault(node.at, "a keyed class needs (key-life TIME): how long hosts drop a repeat")
    if kind.expected_time > kind.abandon_time:
        source.fault(node.at, "the expected time is longer than the abandon time")
    if not kind.expected_time:
        source.fault(node.at, "the expected time must be above nought")
    form.done()
    return name, kind


def _metrics(source: Source, form: _Form, gauges: tuple[str, ...]) -> MetricsTerms:
    usual = MetricsTerms()
    patterns = []
    for node in form.all("reading"):
        inner = _Form(source, node)
        scale = inner.get("scale", _number, 1.0)
        inner.done()
        pattern, gauge = (node.parts[1].value, node.parts[2].word) if len(node.parts) >= 3 else ("", "")
        if len(inner.values) != 2 or not isinstance(pattern, str) or gauge not in GAUGES:
            source.fault(node.at, f'expected (reading "PATTERN" GAUGE), the gauge one of {", ".join(GAUGES)}')
        elif fault(pattern):
            source.fault(node.parts[1].at, fault(pattern))
        elif GAUGES[gauge] not in gauges:
            source.fault(node.parts[2].at, f"this service's hosts have no gauge {gauge}; see (reports (gauges ...))")
        else:
            patterns.append((pattern, GAUGES[gauge], scale))
    overflow, rounds = form.form("overflow", False), form.form("rounds", False)
    graphite, collectd = form.form("graphite", False), form.form("collectd", False)
    none = ("", 0)
    terms = MetricsTerms(
        prefix=form.get("prefix", _text, usual.prefix),
        every=form.get("every", _time, usual.every),
        graphite_to=graphite.get("send", _address, none) if graphite.lists.get("send") else None,
        graphite_listen=graphite.get("listen", _address, none) if graphite.lists.get("listen") else None,
        collectd_to=collectd.get("send", _address, none) if collectd.lists.get("send") else None,
        collectd_listen=collectd.get("listen", _address, none) if collectd.lists.get("listen") else None,
        must=collectd.get("must", _MUST, "").replace("plain", ""),
        user=collectd.get("user", _text, ""),
        key_file=collectd.get("key-file", _text, ""),
        readings=tuple(patterns),
        late=form.get("late", _time, usual.late),
        ahead=form.get("ahead", _time, usual.ahead),
        connections=form.get("connections", _count, usual.connections),
        lines=form.get("lines", _count, usual.lines),
        spool=form.get("spool", _count, usual.spool),
        overflow=overflow.get("folder", _text, ""),
        overflow_most=overflow.get("most", _size, usual.overflow_most),
        rounds=rounds.get("folder", _text, ""),
        keep=rounds.get("keep", _text, usual.keep),
        series=rounds.get("series", _count, usual.series),
    )
    try:
        archives(terms.keep)
    except Malformed as wrong:
        source.fault(rounds.lists["keep"][0].at, str(wrong))
    if terms.must and not (terms.user and terms.key_file):
        source.fault(form.node.at, f"(must {terms.must}) needs (user ...) and (key-file ...)")
    for part in (graphite, collectd, overflow, rounds, form):
        part.done()
    return terms


def _files(source: Source, form: _Form) -> FilesTerms:
    usual = FilesTerms()
    terms = FilesTerms(
        path=form.get("path", _text, "") if form.node.parts else "",
        store=form.get("store", _text, ""),
        settle=form.get("settle", _time, usual.settle),
        poll=form.get("poll", _time, usual.poll),
        most=form.get("most", _size, usual.most),
        read_time=form.get("read-time", _time, usual.read_time),
        remove=form.get("remove", _part, usual.remove),
        cold=form.get("cold", _part, usual.cold),
    )
    if form.node.parts and not terms.path:
        source.fault(form.node.at, '(files ...) needs (path "FILE")')
    form.done()
    return terms


def _names(source: Source, form: _Form, head: str) -> tuple[str, ...]:
    nodes = form.values_of(head, True) or []
    names = []
    for node in nodes:
        if not isinstance(node.value, str) or not node.value:
            source.fault(node.at, f"({head} ...) takes names in quotes")
        elif node.value in names:
            source.fault(node.at, f"{node.value} is named twice")
        else:
            names.append(node.value)
    if form.lists.get(head) and not names:
        source.fault(form.lists[head][0].at, f"({head} ...) names nothing")
    return tuple(names)


def read_terms(file: str, text: str) -> Terms:
    """Terms from the text of `file` (the name is used in faults alone); raises `Unreadable`."""
    source = Source(file, text)
    if len(source.nodes) != 1 or source.nodes[0].head != "service":
        source.fault(source.nodes[0].at if source.nodes else 0, 'expected one list (service "name" ...)')
        raise Unreadable(source.faults)
    top = _Form(source, source.nodes[0])
    name = top.values[0].value if top.values and isinstance(top.values[0].value, str) else ""
    if not name:
        source.fault(top.node.at, 'expected (service "name" ...)')
    zones = _names(source, top, "zones")
    classes = [_class(source, node) for node in top.all("class")]
    if not classes:
        source.fault(top.node.at, '(class "name" ...) is missing in (service ...)')
    for first, again in zip(top.all("class"), top.all("class")[1:], strict=False):
        if len(again.parts) > 1 and again.parts[1].value in [p.value for p in first.parts[1:2]]:
            source.fault(again.at, f"class {again.parts[1].value} stands here a second time")
    channel, cold, reports = top.form("channel"), top.form("cold"), top.form("reports")
    probes, listing, limits, proxy = (top.form(w, False) for w in ("probes", "list", "limits", "proxy"))
    gauges = []
    for node in reports.values_of("gauges", False) or []:
        if node.word in GAUGES:
            gauges.append(GAUGES[node.word])
        else:
            source.fault(node.at, f"unknown gauge {node.word or repr(node.value)}; expected {', '.join(GAUGES)}")
    prices = top.form("prices", False)
    grace, bare = top.get("grace", _time), top.get("bare", _time)
    service = ServiceTerms(
        zones=max(1, len(zones)),
        classes=tuple(kind for _, kind in classes),
        ask_for_list=listing.get("mode", _LIST, "watched") == "asked",
        drain_grace=grace,
        cold_time=cold.get("time", _time),
        cold_share=cold.get("share", _number),
        bare_time=bare,
        queue_limit=channel.get("queue", _number),
        message_head=channel.get("head", _number, 6.0),
        message_limit=channel.get("messages", _count, 0),
        message_span=channel.get("span", _time, 10 * SECOND),
        slowest_message=channel.get("slowest", _time),
        report_every=reports.get("every", _time, SECOND),
        proxies=top.get("proxies", _count),
        admits=top.get("admission", _LEVELS, "share") == "share",
        may_probe=probes.get("allowed", _yes, False),
        probe_price=probes.get("price", _number, 0.0),
        crossing_price=prices.get("crossing", _number, 0.0),
        gauges=tuple(gauges),
        lines_each_second=channel.get("pace", _number),
    )
    usual = Limits()
    bounds = Limits(
        sessions=limits.get("sessions", _count, usual.sessions),
        joining=limits.get("joining", _count, usual.joining),
        held=limits.get("connections", _count, usual.held),
        body=limits.get("body", _size, usual.body),
        header_time=limits.get("request-time", _time, usual.header_time),
        idle=limits.get("idle", _time, usual.idle),
        write_time=limits.get("write-time", _time, usual.write_time),
        wait=limits.get("wait", _time, usual.wait),
        lapse=limits.get("lapse", _time, usual.lapse),
        polls=limits.get("polls", _count, usual.polls),
        events=limits.get("events", _count, usual.events),
        versions=limits.get("versions", _count, usual.versions),
        entries=limits.get("entries", _count, usual.entries),
    )
    plain = ProxyTerms()
    own = ProxyTerms(
        usual_tries=proxy.get("usual-tries", _count, plain.usual_tries),
        try_share=proxy.get("try-share", _number, plain.try_share),
        shun_after=proxy.get("shun-after", _count, plain.shun_after),
        shun_time=proxy.get("shun-time", _time, plain.shun_time),
        streams=proxy.get("streams", _count, plain.streams),
        connect_time=proxy.get("connect", _time, plain.connect_time),
        standing=proxy.get("standing", _count, plain.standing),
    )
    terms = Terms(
        name=name,
        service=service,
        zones=zones,
        classes=tuple(n for n, _ in classes),
        lines_each_second=channel.get("pace", _number),
        report_lines=reports.get("lines", _number, 200.0),
        listen=top.get("listen", _address, ("127.0.0.1", 7401)),
        registry=listing.get("registry", _address, ("127.0.0.1", 7400)),
        probe_timeout=probes.get("timeout", _time, 2_500),
        fall_multiple=cold.get("multiple", _number, 3.0),
        fall_time=cold.get("within", _time, 3 * SECOND),
        limits=bounds,
        proxy=own,
        metrics=_metrics(source, top.form("metrics", False), service.gauges),
        files=_files(source, top.form("files", False)),
    )
    for form in (top, channel, cold, reports, probes, listing, limits, proxy, prices):
        form.done()
    if not source.faults:
        _contradictions(source, top, terms)
    if source.faults:
        raise Unreadable(sorted(source.faults, key=lambda f: (f.line, f.column)))
    return terms


def _contradictions(source: Source, top: _Form, terms: Terms) -> None:
    """What is well written but can't be kept; each is named where it is written."""
    service = terms.service

    def against(heads: str, what: str) -> None:
        source.fault(top.lists[heads][0].at if heads in top.lists else top.node.at, what)

    if service.drain_grace <= service.slowest_message:
        against("grace", f"a grace of {_ms(service.drain_grace)} is no longer than the slowest message takes, "
                f"{_ms(service.slowest_message)}: no drain could be kept")  # fmt: skip
    if service.bare_time <= service.slowest_message:
        against("bare", f"a bare time of {_ms(service.bare_time)} is no longer than the slowest message takes, "
                f"{_ms(service.slowest_message)}: no joining proxy could be kept supplied")  # fmt: skip
    if not 0 < service.cold_share <= 1:
        against("cold", f"a cold host's share must be above 0 and at most 1, not {service.cold_share:g}")
    if terms.lines_each_second <= 0:
        against("channel", "the pace of the channel must be above nought")
        return
    # A line, its head and the mark at every proxy: what one withdrawal costs.
    least = (service.message_head + 2) * max(1, service.proxies)
    if service.queue_limit < least:
        against("channel", f"a queue of {service.queue_limit:g} lines doesn't hold one withdrawal at "
                f"{service.proxies} proxies, {least:g} lines")  # fmt: skip
    seconds = least / terms.lines_each_second
    if seconds * SECOND > service.drain_grace - service.slowest_message:
        against("channel", f"at {terms.lines_each_second:g} lines a second one withdrawal at {service.proxies} "
                f"proxies takes {seconds:.1f}s, longer than the grace leaves")  # fmt: skip
    if terms.limits.sessions > NUMBERS:
        against("limits", f"sessions are limited to {terms.limits.sessions}, and proxies have only {NUMBERS} numbers")
    if terms.limits.sessions < service.proxies:
        against("limits", f"sessions are limited to {terms.limits.sessions}, fewer than the {service.proxies} "
                "proxies of this service")  # fmt: skip
    if terms.proxy.standing < 1:
        against("proxy", "a proxy starts with at least one standing line")


def _ms(tenths: int) -> str:
    return f"{tenths / 10:g}ms"


def show(terms: Terms) -> list[tuple[str, str]]:
    """The derived figures, each with its name, for people."""
    service, pace = terms.service, terms.lines_each_second
    one = (service.message_head + 2) * max(1, service.proxies)
    rows = [
        ("service", terms.name),
        ("zones", ", ".join(terms.zones)),
        ("one withdrawal at every proxy", f"{one:g} lines, {one / pace * 1000:.0f}ms of the channel"),
        ("withdrawals that the queue holds at once", f"{service.queue_limit / one:.1f}"),
        ("the queue, in time", f"{service.queue_limit / pace * 1000:.0f}ms"),
        ("left of the grace after the slowest message", _ms(service.drain_grace - service.slowest_message)),
        ("a joiner keeps its own tables for at most",
         _ms(max(0, (min(service.bare_time, service.drain_grace) - service.slowest_message) // 2))),
    ]  # fmt: skip
    for name, kind in zip(terms.classes, service.classes, strict=True):
        again = {"always": "may be repeated", "never": "never twice", "keyed": "keyed"}[kind.repeatable]
        text = f"earns {kind.earnings:g} within {_ms(kind.expected_time)}, {again}"
        rows.append((f"class {name}", text))
    return rows
