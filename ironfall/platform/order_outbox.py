"""Queues orders until the relay has executed them. Pure: no I/O.

Orders are sent in sequence; of several with the same subject, only the newest stays in the queue.

All orders are idempotent: they set absolute values. An order that may not have been executed can be
sent again, at the cost of its entries in the channel.
"""

import json
from collections import OrderedDict
from typing import Any, NamedTuple

MAX_CALL_BYTES = 60_000  # total size of the orders in one call
NONCE_COUNT = 65_536  # nonces are call numbers modulo this
# Calls whose confirmations are awaited; far fewer are sent within a message's longest delay.
MAX_AWAITED_NONCES = 1024


class WeightKey(NamedTuple):
    """Subject of an order that sets one table entry."""

    table: int
    host: bytes


class AssignmentKey(NamedTuple):
    """Subject of an order that assigns a proxy's classes to a table."""

    proxy: int
    classes: int


class WithdrawalKey(NamedTuple):
    """Subject of an order that withdraws a host or restores it."""

    host: bytes


class AdmissionKey(NamedTuple):
    """Subject of an order that sets the admitted share and the retry policy."""

    classes: int


class ConfirmationKey(NamedTuple):
    """Stands for the confirmation request at the end of a call."""


# Keys of different types are never equal: they differ in the number or types of their fields.
OrderKey = WeightKey | AssignmentKey | WithdrawalKey | AdmissionKey | ConfirmationKey


class RejectedOrder(NamedTuple):
    """The order at which the relay stopped.

    Attributes:
        key: Its subject.
        text: Its JSON, or what it may be if the outbox no longer has it.
    """

    key: OrderKey
    text: str


class OrderOutbox:
    """The waiting orders and those of the one call in flight.

    Proxies confirm each call by its own nonce. If they confirmed the version instead, a late
    confirmation of a call whose execution was uncertain would also confirm the next call, which
    repeats its orders and adds newer ones.

    Attributes:
        waiting: JSON of the waiting orders, by subject, in the order of sending.
        in_flight: JSON of the orders of the call in flight, by subject, except those dropped since.
        sent: Subjects of the orders of that call, in the order of sending.
        pending_version: The oldest version whose confirmation is not yet requested, if any.
        last_nonce: The nonce of the newest call that has one.
        in_flight_nonce: The nonce of the call in flight, if it has one.
        versions: The versions to be confirmed, by awaited nonce.
    """

    def __init__(self, classes: tuple[str, ...], last_nonce: int = 0) -> None:
        """Creates an empty outbox.

        Args:
            classes: Names of the request classes.
            last_nonce: The nonce before that of the first call. Drawn at random at each start, so
                that late confirmations of calls from before a restart match no awaited nonce.
        """
        self._classes = classes
        self.waiting: dict[OrderKey, str] = {}
        self.in_flight: dict[OrderKey, str] = {}
        self.sent: list[OrderKey] = []
        self.pending_version: int | None = None
        self._in_flight_version: int | None = None
        self.last_nonce = last_nonce
        self.in_flight_nonce: int | None = None
        self.versions: OrderedDict[int, int] = OrderedDict()

    # Orders

    def request_confirmation(self, version: int) -> None:
        """Requests a confirmation of all orders up to a version with the next call.

        If several versions wait for the same call, the call confirms the first of them. If it
        confirmed the last, the first proxy's confirmation would also count for messages to other
        proxies that are still in the channel.
        """
        if self.pending_version is None:
            self.pending_version = version

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Queues an order that sets the weight of a host in a table."""
        order = {
            "verb": "SET",
            "cluster": table,
            "endpoint": host.decode(),
            "w": _round_to_six_digits(weight),
        }
        self._add(WeightKey(table, host), order)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Queues an order that a proxy use a table for the classes in a bit mask; 0 for all."""
        order = {"verb": "USE", "node": proxy, "cluster": table, **self._routes(classes)}
        self._add(AssignmentKey(proxy, classes), order)

    def withdraw(self, host: bytes, is_withdrawn: bool) -> None:
        """Queues an order that withdraws a host from all tables, or restores it."""
        order = {"verb": "OUT" if is_withdrawn else "IN", "endpoint": host.decode()}
        self._add(WithdrawalKey(host), order)

    def admit(self, classes: int, admitted_share: float, retry_policy: int) -> None:
        """Queues the admitted share and retry policy for the classes in a bit mask; 0 for all."""
        order = {
            "verb": "LIMIT",
            **self._routes(classes),
            "admit": _round_to_six_digits(admitted_share),
            "policy": retry_policy,
        }
        self._add(AdmissionKey(classes), order)

    def forget_proxy(self, proxy: int) -> None:
        """Drops the assignments of a proxy that has left; if it returns, it is assigned again."""
        for orders in (self.waiting, self.in_flight):
            for key in list(orders):
                if isinstance(key, AssignmentKey) and key.proxy == proxy:
                    del orders[key]

    def _routes(self, classes: int) -> dict[str, list[str]]:
        names = [name for index, name in enumerate(self._classes) if classes >> index & 1]
        if not classes or len(names) == len(self._classes):
            return {}
        return {"routes": names}

    def _add(self, key: OrderKey, order: dict[str, Any]) -> None:
        self._queue(key, _encode(order))

    def _queue(self, key: OrderKey, text: str) -> None:
        # A table entry keeps its place, so that no assignment to its table is sent before it; any
        # other order moves to the end.
        if not isinstance(key, WeightKey):
            self.waiting.pop(key, None)
        self.waiting[key] = text

    # Calls

    def next_call(self, max_bytes: int = MAX_CALL_BYTES) -> list[str]:
        """Returns the next call's orders as JSON, now in flight; empty if none are waiting."""
        nonce = (self.last_nonce + 1) % NONCE_COUNT
        confirmation = _encode({"verb": "SYNC", "nonce_out": nonce, "set": 0})
        self._clear_in_flight()
        orders = self._dequeue_orders(max_bytes - len(confirmation) - 1)
        if orders and self.pending_version is not None:
            # Sent even if more orders are waiting, which it can't cover: it proves that the call
            # was executed. A nonce covers all orders before it, since the channel preserves order.
            orders.append(confirmation)
            self._await_confirmation(nonce)
        return orders

    def complete(self, accepted: int) -> RejectedOrder | None:
        """Records that the relay accepted the first `accepted` orders of the call.

        The order at which it stopped, if any, is dropped and returned; those after it are queued
        again.
        """
        unaccepted = self.sent[accepted:]
        rejected = None
        if unaccepted:
            text = self.in_flight.get(unaccepted[0], "confirmation request, or dropped in flight")
            rejected = RejectedOrder(unaccepted[0], text)
        self._requeue(unaccepted[1:])
        return rejected

    def requeue(self) -> None:
        """Queues all orders of the call again, as none is known to be executed."""
        self._requeue(self.sent)

    def _dequeue_orders(self, max_bytes: int) -> list[str]:
        orders: list[str] = []
        size = 0
        for key, text in self.waiting.items():
            size += len(text) + 1
            if size > max_bytes:
                break
            orders.append(text)
            self.sent.append(key)
            self.in_flight[key] = text
        for key in self.sent:
            del self.waiting[key]
        return orders

    def _await_confirmation(self, nonce: int) -> None:
        self.last_nonce = nonce
        self.in_flight_nonce = nonce
        self.versions.pop(nonce, None)
        if not self.waiting and self.pending_version is not None:
            self.sent.append(ConfirmationKey())
            self.versions[nonce] = self.pending_version
            self._in_flight_version = self.pending_version
            self.pending_version = None
        if len(self.versions) > MAX_AWAITED_NONCES:
            self.versions.popitem(last=False)

    def _requeue(self, keys: list[OrderKey]) -> None:
        newer = self.waiting
        self.waiting = {key: self.in_flight[key] for key in keys if key in self.in_flight}
        for key, text in newer.items():
            self._queue(key, text)
        if ConfirmationKey() in keys:
            # If the call is confirmed after all, its orders are in the channel twice: that
            # confirmation must be ignored.
            self.pending_version = self._in_flight_version
            self.versions.pop(self.last_nonce, None)
        self._clear_in_flight()

    def _clear_in_flight(self) -> None:
        self.in_flight = {}
        self.sent = []
        self._in_flight_version = None
        self.in_flight_nonce = None


def _encode(order: dict[str, Any]) -> str:
    return json.dumps(order, separators=(",", ":"))


def _round_to_six_digits(value: float) -> float:
    """Rounds to six significant digits, the precision of orders."""
    return float(f"{value:.6g}")
