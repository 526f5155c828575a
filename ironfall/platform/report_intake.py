"""Validates collectors' reports and queues them for the event loop. Pure: no I/O."""

from collections.abc import Callable

from ironfall.platform.message_parser import (
    Fields,
    InvalidMessageError,
    Message,
    MessageKind,
    ReportParser,
)
from ironfall.platform.report_queue import ReportQueue


class ReportIntake:
    """Handles the messages of collectors that have joined."""

    def __init__(
        self, parser: ReportParser, queue: ReportQueue, is_listed: Callable[[bytes], bool]
    ) -> None:
        """Adds reports to `queue`; `is_listed` returns whether a host is in the host list."""
        self._parser = parser
        self._queue = queue
        self._is_listed = is_listed

    def check_zone(self, fields: Fields) -> None:
        """Raises `InvalidMessageError` unless the fields name a zone of the service."""
        self._parser.parse_zone(fields)

    def accept(self, message: Message) -> None:
        """Queues a report; an upstream report without attempts is ignored.

        Raises:
            InvalidMessageError: The message is not a valid report, or names a host that is not
                listed.
        """
        if message.kind is MessageKind.UPSTREAM_STATS:
            self._accept_upstream(message.fields)
        elif message.kind is MessageKind.CLIENT_STATS:
            self._queue.add_requests(self._parser.parse_request_report(message.fields))
        else:
            raise InvalidMessageError(f"{message.kind} is not a report")

    def _accept_upstream(self, fields: Fields) -> None:
        report = self._parser.parse_upstream_report(fields)
        if not self._is_listed(report.host):
            raise InvalidMessageError("endpoint: not in the host list")
        if report.attempts:
            self._queue.add_upstream(report)
