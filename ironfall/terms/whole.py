"""All that is read at start, and which package reads each section."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any

from ironfall.disruption.settings import FleetSettings
from ironfall.disruption.settings_reader import read_fleet
from ironfall.files.terms import FilesTerms, read_files
from ironfall.metrics.terms import MetricsTerms, read_metrics
from ironfall.terms.limits import Limits, read_limits
from ironfall.terms.proxy import ProxyTerms, read_proxy
from ironfall.words import Facts, Form

Reader = Callable[[Form, Facts], Any]


def by(reader: Reader) -> Mapping[str, Reader]:
    return {"reader": reader}


@dataclass(frozen=True)
class Terms(Facts):
    entries_per_second: float  # the channel's pace
    report_lines: float  # lines of reports a second that the decisions are given
    listen: tuple[str, int]
    registry: tuple[str, int]
    probe_timeout: int
    fall_multiple: float
    fall_time: int
    # Sections: the field's name is the word `(limits ...)`. One left out is read as an empty list.
    limits: Limits = field(metadata=by(read_limits))
    proxy: ProxyTerms = field(metadata=by(read_proxy))
    metrics: MetricsTerms = field(metadata=by(read_metrics))
    files: FilesTerms = field(metadata=by(read_files))
    fleet: FleetSettings = field(metadata=by(read_fleet))


def read_sections(top: Form, facts: Facts) -> dict[str, Any]:
    readers = {
        one.name: one.metadata["reader"] for one in fields(Terms) if "reader" in one.metadata
    }
    return {word: read(top.form(word, False), facts) for word, read in readers.items()}
