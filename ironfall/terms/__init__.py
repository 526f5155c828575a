"""The terms of a service as its owner and operators agreed on them, read from S-expressions and checked whole.

`read_terms(file, text)` gives `Terms` or raises `Unreadable` with every fault's file, line and column. Times in
the result are whole tenths of a millisecond, sizes bytes. `docs/terms.md` lists the words.
"""

from ironfall import words
from ironfall.sexp import Fault, Source, Unreadable
from ironfall.terms.figures import contradictions, show
from ironfall.terms.limits import NUMBERS, Limits
from ironfall.terms.proxy import ProxyTerms
from ironfall.terms.service import read_facts
from ironfall.terms.whole import Terms, read_sections
from ironfall.words import SECOND, Form

__all__ = ["NUMBERS", "Fault", "Limits", "ProxyTerms", "Terms", "Unreadable", "read_terms", "show"]


def read_terms(file: str, text: str) -> Terms:
    """Terms from the text of `file` (the name is used in faults alone); raises `Unreadable`."""
    source = Source(file, text)
    if len(source.nodes) != 1 or source.nodes[0].head != "service":
        source.fault(
            source.nodes[0].at if source.nodes else 0, 'expected one list (service "name" ...)'
        )
        raise Unreadable(source.faults)
    top = Form(source, source.nodes[0])
    facts = read_facts(top)
    channel, cold, reports = (top.form(w) for w in ("channel", "cold", "reports"))
    probes, listing = (top.form(w, False) for w in ("probes", "list"))
    terms = Terms(
        **vars(facts),
        entries_per_second=channel.get("pace", words.number),
        report_lines=reports.get("lines", words.number, 200.0),
        listen=top.get("listen", words.address, ("127.0.0.1", 7401)),
        registry=listing.get("registry", words.address, ("127.0.0.1", 7400)),
        probe_timeout=probes.get("timeout", words.time, 2_500),
        fall_multiple=cold.get("multiple", words.number, 3.0),
        fall_time=cold.get("within", words.time, 3 * SECOND),
        **read_sections(top, facts),
    )
    top.done()
    if not source.faults:
        contradictions(top, terms)
    if source.faults:
        raise Unreadable(sorted(source.faults, key=lambda f: (f.line, f.column)))
    return terms
