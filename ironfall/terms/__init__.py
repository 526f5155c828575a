"""The settings of a service, read from S-expressions and validated.

`read_terms` returns the settings or raises `Unreadable` with the place of every error. Times in
the result are in whole tenths of a millisecond, sizes in bytes. docs/terms.md lists the keys.
"""

from ironfall import words
from ironfall.sexp import Fault, Source, Unreadable
from ironfall.terms.figures import report_contradictions, show
from ironfall.terms.limits import NUMBERS, Limits
from ironfall.terms.proxy import ProxyTerms
from ironfall.terms.service import read_facts
from ironfall.terms.whole import Terms, read_sections
from ironfall.words import SECOND, TICKS_PER_MS, Form

__all__ = ["NUMBERS", "Fault", "Limits", "ProxyTerms", "Terms", "Unreadable", "read_terms", "show"]

DEFAULT_REPORT_LINES = 200.0
"""Lines of load reports per second that are passed to the decisions."""
DEFAULT_LISTEN = ("127.0.0.1", 7401)
DEFAULT_REGISTRY = ("127.0.0.1", 7400)
DEFAULT_PROBE_TIMEOUT = 250 * TICKS_PER_MS
DEFAULT_FALL_MULTIPLE = 3.0
DEFAULT_FALL_TIME = 3 * SECOND


def read_terms(file: str, text: str) -> Terms:
    """Returns the settings in the content of a settings file.

    Args:
        file: The file's name in errors; it is not opened.
        text: The file's content.

    Raises:
        Unreadable: Something is malformed, unknown, missing or contradictory; names all errors.
    """
    source = Source(file, text)
    if len(source.nodes) != 1 or source.nodes[0].head != "service":
        at = source.nodes[0].at if source.nodes else 0
        source.fault(at, 'expected one list (service "name" ...)')
        raise Unreadable(source.faults)
    top = Form(source, source.nodes[0])
    terms = _read_service(top)
    top.done()
    if not source.faults:
        report_contradictions(top, terms)
    if source.faults:
        raise Unreadable(sorted(source.faults, key=lambda fault: (fault.line, fault.column)))
    return terms


def _read_service(top: Form) -> Terms:
    """Reads all of `(service ...)`; reports errors to the form's source."""
    facts = read_facts(top)
    channel = top.form("channel")
    cold = top.form("cold")
    reports = top.form("reports")
    probes = top.form("probes", required=False)
    host_list = top.form("list", required=False)
    return Terms(
        name=facts.name,
        service=facts.service,
        zones=facts.zones,
        classes=facts.classes,
        entries_per_second=channel.get("pace", words.number),
        report_lines=reports.get("lines", words.number, DEFAULT_REPORT_LINES),
        listen=top.get("listen", words.address, DEFAULT_LISTEN),
        registry=host_list.get("registry", words.address, DEFAULT_REGISTRY),
        probe_timeout=probes.get("timeout", words.time, DEFAULT_PROBE_TIMEOUT),
        fall_multiple=cold.get("multiple", words.number, DEFAULT_FALL_MULTIPLE),
        fall_time=cold.get("within", words.time, DEFAULT_FALL_TIME),
        **read_sections(top, facts),
    )
