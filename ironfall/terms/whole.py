"""All settings of a service, and the package that reads each section of them."""

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

SectionReader = Callable[[Form, Facts], object]

_READER_KEY = "reader"


def _read_by(reader: SectionReader) -> Mapping[str, SectionReader]:
    """Returns the metadata of a field of `Terms` that is a section with this reader."""
    return {_READER_KEY: reader}


@dataclass(frozen=True)
class Terms(Facts):
    """All settings of a service. Times are in tenths of a millisecond.

    A section's field is named like its list, such as `(limits ...)`; a section that is absent from
    the file is read from an empty list.

    Attributes:
        entries_per_second: The pace of the control channel, in table entries.
        report_lines: Lines of load reports per second that are passed to the decisions.
        listen: Host and port where proxies join.
        registry: Host and port of the host list.
        probe_timeout: Timeout of a health check.
        fall_multiple: Work sent to a host in slow start, as a multiple of its capacity, above which
            an emulated host fails.
        fall_time: The time over which that work is added up.
        limits: The section `(limits ...)`.
        proxy: The section `(proxy ...)`.
        metrics: The section `(metrics ...)`.
        files: The section `(files ...)`.
        fleet: The section `(fleet ...)`.
    """

    entries_per_second: float
    report_lines: float
    listen: tuple[str, int]
    registry: tuple[str, int]
    probe_timeout: int
    fall_multiple: float
    fall_time: int
    limits: Limits = field(metadata=_read_by(read_limits))
    proxy: ProxyTerms = field(metadata=_read_by(read_proxy))
    metrics: MetricsTerms = field(metadata=_read_by(read_metrics))
    files: FilesTerms = field(metadata=_read_by(read_files))
    fleet: FleetSettings = field(metadata=_read_by(read_fleet))


def read_sections(top: Form, facts: Facts) -> dict[str, Any]:
    """Reads the sections of `(service ...)`; returns them by the name of their field in `Terms`."""
    sections: dict[str, Any] = {}
    for section in fields(Terms):
        if _READER_KEY in section.metadata:
            read = section.metadata[_READER_KEY]
            sections[section.name] = read(top.form(section.name, required=False), facts)
    return sections
