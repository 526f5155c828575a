"""When load reports come, and which measurements are recent enough by that."""

from ironfall.decisions.records import Host
from ironfall.decisions.time_units import SECOND

# Weight of a report in the mean spacing of reports.
SPACING_GAIN = 0.02
# A measurement is late after this multiple of the spacing of reports.
LATE_AFTER_SPACINGS = 1.5
# A gauge that was read within this time is recent, however often reports come.
MIN_GAUGE_LIFETIME = 3 * SECOND


class ReportClock:
    """The times of upstream load reports.

    Attributes:
        started_at: When the director started.
        report_interval: How often reports should come.
        report_spacing: How often they come: the mean time that a report covers.
        last_report_at: When the last one came.
    """

    def __init__(self, report_interval: int, now: int) -> None:
        self.started_at = now
        self.report_interval = report_interval
        self.report_spacing = float(report_interval)
        self.last_report_at = now

    def on_report(self, now: int, covered_time: int) -> None:
        """Takes note of a report and of the time it covers."""
        self.last_report_at = now
        self.report_spacing += SPACING_GAIN * (covered_time - self.report_spacing)

    def has_recent_gauge(self, now: int, host: Host) -> bool:
        """Returns whether the host's gauge still tells what waits there."""
        lifetime = max(MIN_GAUGE_LIFETIME, LATE_AFTER_SPACINGS * self.report_spacing)
        return now - host.gauged_at < lifetime

    def is_starting(self, now: int, report_intervals: int) -> bool:
        """Returns whether fewer report intervals than this have passed since the start."""
        return now - self.started_at < report_intervals * self.report_interval

    def overdue_seconds(self, host: Host) -> float:
        """Returns for how long a success of the host has been overdue.

        The last report of any host is the clock: late reports or a paused director are not the
        silence of a host.
        """
        late_after = LATE_AFTER_SPACINGS * self.report_spacing
        return (self.last_report_at - host.last_success_at - late_after) / SECOND
