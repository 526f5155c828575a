"""Sends the outbox's orders to the relay, one call at a time, until each has been executed."""

import time
from typing import Protocol

from gevent.event import Event

from ironfall.platform.order_outbox import MAX_CALL_BYTES, AssignmentKey, OrderOutbox
from ironfall.platform.relay_connection import (
    CallNotExecutedError,
    CallUncertainError,
    RelayConnection,
)
from ironfall.platform.runtime import Runtime
from ironfall.platform.sockets import Address, Backoff

# Smallest limit on a call's orders, reached on a slow network path to the relay.
MIN_CALL_BYTES = 4 * 1024
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.5


class CallListener(Protocol):
    """Receives events about calls."""

    def on_call_started(self, nonce: int) -> None:
        """Handles a call that is about to be sent under a nonce."""

    def on_assignment_rejected(self, proxy: int) -> None:
        """Handles an assignment that the relay rejected."""


class RelayClient:
    """Sends orders to the relay.

    Attributes:
        address: The relay's address for the next call.
        has_orders: Set when the outbox has orders to send.
        confirmation_timeout_s: How long to wait for the confirmation of an uncertain call before it
            is repeated.
        max_call_bytes: Size limit on the next call's orders.
        longest_call_s: Duration of the longest answered call since the last reset.
    """

    def __init__(
        self,
        address: Address,
        outbox: OrderOutbox,
        confirmation_timeout_s: float,
        listener: CallListener,
        runtime: Runtime,
    ) -> None:
        self._connection = RelayConnection(address)
        self._outbox = outbox
        self._listener = listener
        self._runtime = runtime
        self._backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S, runtime.random)
        self.confirmation_timeout_s = confirmation_timeout_s
        self.has_orders = Event()
        self._is_confirmed = Event()
        self.max_call_bytes = MAX_CALL_BYTES
        self._consecutive_timeouts = 0
        self.longest_call_s = 0.0
        self._logged_key_types: set[type] = set()

    @property
    def address(self) -> Address:
        """The relay's address for the next call."""
        return self._connection.address

    def run(self) -> None:
        """Sends waiting orders until the greenlet is killed."""
        while True:
            self.has_orders.wait()
            self.has_orders.clear()
            while orders := self._outbox.next_call(self.max_call_bytes):
                self._send(orders)

    def change_address(self, address: Address) -> None:
        """Sends later calls to another address; a call in flight is finished at the old one."""
        self._connection.address = address

    def on_nonce_confirmed(self, nonce: int) -> None:
        """Handles a proxy's confirmation, which proves that the nonce's call was executed."""
        if nonce == self._outbox.in_flight_nonce:
            self._is_confirmed.set()

    def close(self) -> None:
        """Closes the connection; the next call reconnects."""
        self._connection.close()

    def _send(self, orders: list[str]) -> None:
        self._is_confirmed.clear()
        self._runtime.count("calls")
        if self._outbox.in_flight_nonce is not None:
            self._listener.on_call_started(self._outbox.in_flight_nonce)
        try:
            accepted = self._timed_call(orders)
        except CallNotExecutedError as error:
            self._runtime.count(f"calls not done: {error.reason}")
            self._adapt_call_size(error.is_timeout)
            self._outbox.requeue()
            self._backoff.wait()
        except CallUncertainError as error:
            self._runtime.count(f"calls uncertain: {error.reason}")
            self._adapt_call_size(error.is_timeout)
            self.close()
            self._resolve_uncertain_call(len(orders))
        else:
            self._backoff.reset()
            self._adapt_call_size(False)
            self._complete(accepted)

    def _timed_call(self, orders: list[str]) -> int:
        started = time.monotonic()
        accepted = self._connection.call(orders)
        self.longest_call_s = max(self.longest_call_s, time.monotonic() - started)
        return accepted

    def _resolve_uncertain_call(self, order_count: int) -> None:
        """Waits for the call's confirmation, and queues its orders again if none arrives.

        The wait saves channel capacity, which a repeated call would use twice.
        """
        has_nonce = self._outbox.in_flight_nonce is not None
        if has_nonce and self._is_confirmed.wait(self.confirmation_timeout_s):
            self._runtime.count("calls proved")
            self._outbox.complete(order_count)
            self._backoff.reset()
            return
        self._outbox.requeue()
        # Backs off here too: a relay that closes the connection at each call may execute each one,
        # and immediate repeats would fill the channel.
        self._backoff.wait()

    def _complete(self, accepted: int) -> None:
        rejected = self._outbox.complete(accepted)
        if rejected is None:
            return
        self._runtime.count("orders refused")
        key_type = type(rejected.key)
        if key_type not in self._logged_key_types:
            self._logged_key_types.add(key_type)
            self._runtime.log.warning("relay rejected an order; dropping it", order=rejected.text)
        if isinstance(rejected.key, AssignmentKey):
            self._listener.on_assignment_rejected(rejected.key.proxy)

    def _adapt_call_size(self, timed_out: bool) -> None:
        """Reduces the size limit while calls time out; raises it after each that does not.

        On a slow network path, the same long call would time out again and again. One timeout may
        be a lost answer, so only two in a row count as a slow path.
        """
        if not timed_out:
            self._consecutive_timeouts = 0
            self.max_call_bytes = min(MAX_CALL_BYTES, self.max_call_bytes + MIN_CALL_BYTES)
            return
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts > 1:
            self.max_call_bytes = max(MIN_CALL_BYTES, self.max_call_bytes // 2)
