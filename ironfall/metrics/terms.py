"""The `(metrics ...)` section of a service's settings.

It says where measurements are sent, where readings are received, and which gauges they are.
"""

from dataclasses import dataclass, field

from ironfall import words
from ironfall.metrics.mapping import pattern_error
from ironfall.metrics.point import Malformed
from ironfall.metrics.retention import archives
from ironfall.words import GAUGES, Facts, Form

Address = tuple[str, int]
SECURITY_LEVELS = words.one_of("plain", "signed", "encrypted")


@dataclass(frozen=True)
class MetricsTerms:
    """The settings of the metrics; times are tenths of a millisecond.

    Nothing is sent, received or stored unless its address or folder is set.
    """

    prefix: str = "ironfall"
    every: int = 10_000
    graphite_to: Address | None = None
    graphite_listen: Address | None = None
    collectd_to: Address | None = None
    collectd_listen: Address | None = None
    must: str = ""  # "signed" or "encrypted": packets with less protection are refused
    user: str = ""
    key_file: str = ""
    # Pattern, the decision engine's name of the gauge, scale.
    readings: tuple[tuple[str, str, float], ...] = field(default=())
    late: int = 300_000
    ahead: int = 20_000
    connections: int = 100
    lines: int = 20_000  # a second, over all connections
    spool: int = 50_000  # points
    overflow: str = ""  # a folder; if empty, points that exceed the spool are dropped
    overflow_most: int = 64 * 2**20  # bytes, for each sender
    rounds: str = ""  # a folder of round-robin files; if empty, none are kept
    keep: str = "1s:1h,10s:1d,1min:30d"
    series: int = 2_000  # the limit of round-robin files


def read_metrics(form: Form, facts: Facts) -> MetricsTerms:
    """Reads the section and checks its patterns against the service's gauges; reports faults."""
    source, defaults = form.source, MetricsTerms()
    patterns = []
    for node in form.all("reading"):
        inner = Form(source, node)
        scale = inner.get("scale", words.number, 1.0)
        inner.done()
        pattern, gauge = (
            (node.parts[1].value, node.parts[2].word) if len(node.parts) >= 3 else ("", "")
        )
        if len(inner.values) != 2 or not isinstance(pattern, str) or gauge not in GAUGES:
            source.fault(
                node.at, f'expected (reading "PATTERN" GAUGE), the gauge one of {", ".join(GAUGES)}'
            )
        elif pattern_error(pattern):
            source.fault(node.parts[1].at, pattern_error(pattern))
        elif GAUGES[gauge] not in facts.service.gauges:
            source.fault(
                node.parts[2].at,
                f"this service's hosts have no gauge {gauge}; see (reports (gauges ...))",
            )
        else:
            patterns.append((pattern, GAUGES[gauge], scale))
    overflow, rounds = form.form("overflow", False), form.form("rounds", False)
    graphite, collectd = form.form("graphite", False), form.form("collectd", False)
    unset = ("", 0)
    terms = MetricsTerms(
        prefix=form.get("prefix", words.text, defaults.prefix),
        every=form.get("every", words.time, defaults.every),
        graphite_to=graphite.get("send", words.address, unset)
        if graphite.lists.get("send")
        else None,
        graphite_listen=graphite.get("listen", words.address, unset)
        if graphite.lists.get("listen")
        else None,
        collectd_to=collectd.get("send", words.address, unset)
        if collectd.lists.get("send")
        else None,
        collectd_listen=collectd.get("listen", words.address, unset)
        if collectd.lists.get("listen")
        else None,
        must=collectd.get("must", SECURITY_LEVELS, "").replace("plain", ""),
        user=collectd.get("user", words.text, ""),
        key_file=collectd.get("key-file", words.text, ""),
        readings=tuple(patterns),
        late=form.get("late", words.time, defaults.late),
        ahead=form.get("ahead", words.time, defaults.ahead),
        connections=form.get("connections", words.count, defaults.connections),
        lines=form.get("lines", words.count, defaults.lines),
        spool=form.get("spool", words.count, defaults.spool),
        overflow=overflow.get("folder", words.text, ""),
        overflow_most=overflow.get("most", words.size, defaults.overflow_most),
        rounds=rounds.get("folder", words.text, ""),
        keep=rounds.get("keep", words.text, defaults.keep),
        series=rounds.get("series", words.count, defaults.series),
    )
    try:
        archives(terms.keep)
    except Malformed as error:
        source.fault(rounds.lists["keep"][0].at, str(error))
    if terms.must and not (terms.user and terms.key_file):
        source.fault(form.node.at, f"(must {terms.must}) needs (user ...) and (key-file ...)")
    return terms
