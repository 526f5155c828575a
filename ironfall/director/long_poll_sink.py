"""The order sink of the long-poll protocol: turns the orders of a batch into messages."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ironfall.decisions.time_units import SECOND
from ironfall.director import explain
from ironfall.director.channel import NO_CONFIRMATION, Message
from ironfall.director.event_loop import MAX_WAIT_SECONDS

if TYPE_CHECKING:
    from ironfall.director.long_poll_director import LongPollDirector

SESSION_CHECK_INTERVAL_TICKS = SECOND // 5


@dataclass(frozen=True, slots=True)
class OrderLogEntry:
    """A log event of an order and its fields, held back until the batch has a version."""

    event: str
    fields: dict[str, Any]


class LongPollSink:
    """Publishes the orders of a batch, and enqueues one message for each affected proxy."""

    def __init__(self, director: "LongPollDirector") -> None:
        self.director = director
        self._confirmation = NO_CONFIRMATION
        self._assigned_classes: dict[int, int] = {}
        self._log_entries: list[OrderLogEntry] = []
        self._checked_at = director.clock.now()

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Publishes a host's weight in a table."""
        name = self.director.host_list.names[host]
        self.director.publication.set_weight(table, name, weight)
        self._log("line", table=table, host=name, weight=round(weight, 4))

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assigns a table to a proxy for a mask of classes, 0 for all."""
        self.director.publication.assign(proxy, table, classes)
        assigned = self._assigned_classes.get(proxy, 0)
        self._assigned_classes[proxy] = assigned | (classes or self.director.all_classes)
        session = self.director.sessions.by_number.get(proxy)
        recipient = session.name if session else proxy
        self._log("bind", proxy=recipient, table=table, classes=classes)

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        """Withdraws a host from all tables, or ends its withdrawal."""
        director = self.director
        name = director.host_list.names[host]
        director.publication.withdraw(name, is_withdrawn)
        evidence = explain.withdrawal(director.engine, host, director.batch_time)
        if is_withdrawn:
            event = "withdraw"
            cause = evidence.get("cause", "unknown").partition(":")[0]
            director.count(f"withdrawals: {cause}")
        elif name in director.host_list.entries:
            event = "return"
            director.count("returns")
        else:
            event = "withdrawal dropped"  # The host is not listed any more and does not return.
        self._log(event, host=name, **evidence)

    def admit(self, classes: int, admitted_share: float, attempts: int) -> None:
        """Publishes the admission rate and the number of retries for a mask of classes."""
        self.director.publication.admit(classes, admitted_share, attempts)
        # The field cannot be called "level", which is the severity of a log line.
        evidence = explain.admission(self.director.engine)
        self._log(
            "admit", classes=classes, share=round(admitted_share, 4), tries=attempts, **evidence
        )

    def health_check(self, host: bytes) -> None:
        """Starts a health check."""
        self.director.tasks.health_check(self.director.host_list.names[host])

    def request_confirmation(self, version: int) -> None:
        """Requests a confirmation of the batch's messages."""
        self._confirmation = version

    def watch_hosts(self) -> None:
        """Starts the watch of the host list."""
        self.director.tasks.watch_hosts()

    def forget(self, host: bytes) -> None:
        """Removes a host, unless it is listed again."""
        name = self.director.host_list.forget(host)
        if name:
            self.director.tasks.forget(name)

    def on_clock_read(self, now: int) -> None:
        """Ends expired sessions and resumes throttled ones."""
        if now - self._checked_at < SESSION_CHECK_INTERVAL_TICKS:
            return
        self._checked_at = now
        for session in self.director.sessions.expired(now):
            self.director.end_session(session, "no poll within the idle limit")
        self.director.resume_throttled(now)

    def end_batch(self, now: int) -> None:
        """Publishes the orders as a version, and enqueues a message for each affected proxy."""
        entries_by_proxy = self.director.publication.close()
        for proxy, entries in entries_by_proxy.items():
            self._enqueue(now, proxy, entries)
        version = self.director.publication.version
        for entry in self._log_entries:
            self.director.log.info(entry.event, version=version, **entry.fields)
        self._log_entries = []
        self._confirmation = NO_CONFIRMATION
        self._assigned_classes = {}

    def send_due(self, now: int) -> float:
        """Passes due messages to their sessions; returns the seconds until the next one is due."""
        director = self.director
        for message in director.channel.pop_due(now):
            session = director.sessions.by_number.get(message.proxy)
            if session is None:
                director.on_message_lost(message)
                continue
            session.released = max(session.released, message.version)
            if message.is_complete:
                session.awaits_complete_state = False
                session.complete_from = message.version
            session.unconfirmed.append(message)
            director.sent_by_zone[session.zone].add(message)
            message.leaves_at = now
            session.wake()
        departure = director.channel.next_departure()
        if departure is None:
            return MAX_WAIT_SECONDS
        return (departure - now) / SECOND

    def _enqueue(self, now: int, proxy: int, entries: int) -> None:
        director = self.director
        session = director.sessions.by_number.get(proxy)
        if session is not None and session.is_throttled:
            return  # Its next assignment includes the missed changes.
        is_assigned_all = self._assigned_classes.get(proxy) == director.all_classes
        overhead = director.service.message_overhead + (self._confirmation >= 0)
        message = Message(
            proxy=proxy,
            version=director.publication.version,
            entries=entries + overhead,
            ordered_at=now,
            confirms=self._confirmation,
            is_complete=session is not None and session.awaits_complete_state and is_assigned_all,
            proxy_name=session.name if session else "",
        )
        director.channel.enqueue(now, message)
        if session is None or now >= session.rejoin_window_until:
            return
        if director.is_near_message_limit(now, session.name, 0):
            director.throttle(session)

    def _log(self, event: str, **fields: Any) -> None:
        self._log_entries.append(OrderLogEntry(event, fields))
