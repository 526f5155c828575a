"""Holds orders until the relay has carried them out. Pure: no I/O.

They keep their order, and of several on the same subject only the newest waits.

All orders are absolute. Whatever may not have been carried out can be sent again: that changes
nothing, and costs its entries in the channel.
"""

import json
from collections import OrderedDict
from typing import Any, NamedTuple

MAX_CALL_BYTES = 60_000  # of the orders in one call
NONCE_COUNT = 65_536  # nonces count calls modulo this
# Calls whose confirmations are awaited; far fewer go out within a message's longest delay.
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
    """Subject of an order that withdraws a host or returns it."""

    host: bytes


class AdmissionKey(NamedTuple):
    """Subject of an order that sets an admission rate."""

    classes: int


class ConfirmationKey(NamedTuple):
    """Stands for the request of confirmation at the end of a call."""


# Keys of two types are never equal: they differ in the number or in the types of their fields.
OrderKey = WeightKey | AssignmentKey | WithdrawalKey | AdmissionKey | ConfirmationKey


class RejectedOrder(NamedTuple):
    """An order at which the relay stopped: its subject and its JSON."""

    key: OrderKey
    text: str


class OrderOutbox:
    """The orders that wait and those of the one call that is out.

    Each call has a nonce of its own, under which proxies confirm it. Were the version confirmed
    instead, the confirmation of a call that was not known to be carried out would also confirm the
    next one, which repeats its orders and adds newer ones.

    Attributes:
        waiting: JSON of the orders that wait, by subject, in order.
        in_flight: JSON of the orders of the call that is out, as far as they are still wanted.
        sent: Subjects of that call, in order.
        pending_version: The oldest version that waits to be confirmed, if any.
        last_nonce: The nonce of the newest call.
        in_flight_nonce: The nonce of the call that is out, if it has one.
        versions: The version that each awaited nonce confirms.
    """

    def __init__(self, classes: tuple[str, ...], last_nonce: int = 0) -> None:
        """Starts empty.

        Args:
            classes: Names of the request classes.
            last_nonce: The nonce before that of the first call. Drawn at random at each start, so
                that confirmations of calls from before a restart confirm nothing.
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
        """Asks for a confirmation of all orders up to a version.

        Versions that wait for the same call share the first of them: its confirmation covers what
        had been ordered by then. If they shared the last, the first confirmation would cover
        messages still in the channel.
        """
        if self.pending_version is None:
            self.pending_version = version

    def set_weight(self, table: int, host: bytes, weight: float) -> None:
        """Orders a table entry."""
        order = {
            "verb": "SET",
            "cluster": table,
            "endpoint": host.decode(),
            "w": _six_digits(weight),
        }
        self._add(WeightKey(table, host), order)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Orders a proxy to use a table for some classes, given as a bit set; 0 for all."""
        order = {"verb": "USE", "node": proxy, "cluster": table, **self._routes(classes)}
        self._add(AssignmentKey(proxy, classes), order)

    def withdraw(self, host: bytes, is_out: bool) -> None:
        """Withdraws a host from all tables, or returns it."""
        order = {"verb": "OUT" if is_out else "IN", "endpoint": host.decode()}
        self._add(WithdrawalKey(host), order)

    def admit(self, classes: int, rate: float, retry_policy: int) -> None:
        """Orders the admitted share and the retries of some classes, a bit set; 0 for all."""
        order = {
            "verb": "LIMIT",
            **self._routes(classes),
            "admit": _six_digits(rate),
            "policy": retry_policy,
        }
        self._add(AdmissionKey(classes), order)

    def forget_proxy(self, proxy: int) -> None:
        """Drops the assignments of a proxy that has left; should it return, it is assigned anew."""
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
        # A table entry keeps its place, so that no assignment to its table overtakes it; all else
        # moves to the end.
        if not isinstance(key, WeightKey):
            self.waiting.pop(key, None)
        self.waiting[key] = text

    # Calls

    def next_call(self, max_bytes: int = MAX_CALL_BYTES) -> list[str]:
        """Takes the next call's orders, as JSON; they are in flight then. Empty if none wait."""
        nonce = (self.last_nonce + 1) % NONCE_COUNT
        confirmation = _encode({"verb": "SYNC", "nonce_out": nonce, "set": 0})
        self._clear_in_flight()
        orders = self._dequeue_orders(max_bytes - len(confirmation) - 1)
        if orders and self.pending_version is not None:
            # Also if more orders wait, which this cannot cover: it shows that the call was carried
            # out. One nonce stands for all orders before it, since the channel keeps their order.
            orders.append(confirmation)
            self._await_confirmation(nonce)
        return orders

    def complete(self, accepted: int) -> RejectedOrder | None:
        """Records that the relay took the first orders of the call.

        The order at which it stopped is dropped and returned; those after it wait again.
        """
        rest = self.sent[accepted:]
        rejected = None
        if rest:
            text = self.in_flight.get(rest[0], "no longer wanted")
            rejected = RejectedOrder(rest[0], text)
        self._requeue(rest[1:])
        return rejected

    def requeue(self) -> None:
        """Records that no order of the call is known to be carried out: all wait again."""
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
            # Should the call be confirmed all the same, its orders are in the channel twice: that
            # confirms nothing.
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


def _six_digits(value: float) -> float:
    """Rounds to six significant digits, which are all that an order carries."""
    return float(f"{value:.6g}")
