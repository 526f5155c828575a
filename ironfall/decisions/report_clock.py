"""Tracks when load reports arrive, to judge which measurements are recent."""

from ironfall.decisions.records import Host
from ironfall.decisions.time_units import SECOND

# Weight of a new report in the moving average of the report spacing.
SPACING_GAIN = 0.02
# A measurement is overdue after this multiple of the report spacing.
LATE_AFTER_SPACINGS = 1.5
# A gauge counts as recent for at least this long, however often reports come.
MIN_GAUGE_LIFETIME = 3 * SECOND


class ReportClock:
    """The times of upstream load reports.

    Attributes:
        started_at: When the director started.
        report_interval: Configured time between reports.
        report_spacing: Measured time between reports: the mean period that a report covers.
        last_report_at: When the latest report arrived.
    """

    def __init__(self, report_interval: int, now: int) -> None:
        self.started_at = now
        self.report_interval = report_interval
        self.report_spacing = float(report_interval)
        self.last_report_at = now

    def on_report(self, now: int, covered_time: int) -> None:
        """Records the arrival of a report, and the length of the period it covers."""
        self.last_report_at = now
        self.report_spacing += SPACING_GAIN * (covered_time - self.report_spacing)

    def has_recent_gauge(self, now: int, host: Host) -> bool:
        """Returns whether the host's gauge is recent enough to be used."""
        lifetime = max(MIN_GAUGE_LIFETIME, LATE_AFTER_SPACINGS * self.report_spacing)
        return now - host.gauged_at < lifetime

    def is_starting(self, now: int, report_intervals: int) -> bool:
        """Returns whether fewer than this many report intervals have passed since the start."""
        return now - self.started_at < report_intervals * self.report_interval

    def overdue_seconds(self, host: Host) -> float:
        """Returns for how many seconds a success of the host has been overdue.

        The time is measured up to the latest report about any host, so that late reports or a
        paused director don't make hosts appear silent.
        """
        late_after = LATE_AFTER_SPACINGS * self.report_spacing
        return (self.last_report_at - host.last_success_at - late_after) / SECOND
