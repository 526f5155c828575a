"""Checks collectors' reports and queues them for the event loop. Pure: no I/O."""

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
    """Takes the messages of collectors that have joined."""

    def __init__(
        self, parser: ReportParser, queue: ReportQueue, is_listed: Callable[[bytes], bool]
    ) -> None:
        """Puts reports into a queue; `is_listed` tells whether a host is in the list."""
        self._parser = parser
        self._queue = queue
        self._is_listed = is_listed

    def check_zone(self, fields: Fields) -> None:
        """Raises `InvalidMessageError` unless the message names one of the zones."""
        self._parser.zone(fields)

    def accept(self, message: Message) -> None:
        """Queues a report.

        Raises:
            InvalidMessageError: The message is no report, or an impossible one.
        """
        if message.kind is MessageKind.UPSTREAM_STATS:
            self._accept_upstream(message.fields)
        elif message.kind is MessageKind.CLIENT_STATS:
            self._queue.add_requests(self._parser.request_report(message.fields))
        else:
            raise InvalidMessageError(f"{message.kind} from a collector")

    def _accept_upstream(self, fields: Fields) -> None:
        report = self._parser.upstream_report(fields)
        if not self._is_listed(report.host):
            raise InvalidMessageError("endpoint: no host of the list")
        if report.attempts:
            self._queue.add_upstream(report)
