"""Sends calls to the relay: JSON-RPC 2.0 over TCP, one object per line."""

import json
import time

import gevent.socket

from ironfall.api.http import ended
from ironfall.errors import IronfallError
from ironfall.platform.sockets import Address, dial, read_until

DIAL_TIMEOUT_S = 0.4
SEND_TIMEOUT_S = 1.0
# Counted from the call's last byte. The relay answers within 50 ms or not at all.
ANSWER_TIMEOUT_S = 0.25
# The relay closes connections that are idle for about ten seconds; a new one is cheap.
MAX_IDLE_S = 3.0
MAX_ANSWER_BYTES = 64 * 1024
# The protocol's errors that mean that no order was executed.
NOT_EXECUTED_ERRORS = ("too_many_calls", "bad_request")


class CallNotExecutedError(IronfallError):
    """The call was certainly not executed, so it can be repeated at no cost.

    Attributes:
        reason: The cause, by which such calls are counted.
        is_timeout: Whether the call timed out.
    """

    def __init__(self, reason: str, is_timeout: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_timeout = is_timeout


class CallUncertainError(IronfallError):
    """The call was executed completely or not at all; it is not known which.

    Attributes:
        reason: The cause, by which such calls are counted.
        is_timeout: Whether the call timed out.
    """

    def __init__(self, reason: str, is_timeout: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_timeout = is_timeout


class RelayConnection:
    """One connection, opened when it is needed and kept between calls.

    Attributes:
        address: The relay's address; a change takes effect with the next call.
        sock: The open socket, if any.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.sock: gevent.socket.socket | None = None
        self._connected_address = address
        self._last_used = 0.0  # monotonic seconds
        self._last_call_id = 0

    def call(self, orders: list[str]) -> int:
        """Sends orders, each as JSON, and returns how many the relay accepted, from the first on.

        Raises:
            CallNotExecutedError: No order was executed.
            CallUncertainError: All orders were executed, or none.
        """
        self._last_call_id += 1
        call = b'{"jsonrpc":"2.0","id":%d,"method":"commit","params":{"orders":[%s]}}\n' % (
            self._last_call_id,
            ",".join(orders).encode(),
        )
        self._close_if_stale()
        sock = self._send(call)
        # The deadline starts here: a slow dial must not shorten the time for the answer.
        self._last_used = time.monotonic()
        answer = self._read_answer(sock, self._last_used + ANSWER_TIMEOUT_S)
        return self._accepted_count(answer, len(orders))

    def close(self) -> None:
        """Closes the socket, if it is open; the next call reconnects."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _close_if_stale(self) -> None:
        if self.sock is None:
            return
        is_idle = time.monotonic() - self._last_used > MAX_IDLE_S
        has_new_address = self._connected_address != self.address
        if is_idle or has_new_address or ended(self.sock):
            self.close()

    def _send(self, call: bytes) -> gevent.socket.socket:
        try:
            if self.sock is None:
                self._connected_address = self.address
                self.sock = dial(self.address, DIAL_TIMEOUT_S)
            self.sock.settimeout(SEND_TIMEOUT_S)
            self.sock.sendall(call)
        except OSError as error:
            # The relay acts only on complete lines: without its last byte the call is not executed.
            self.close()
            is_timeout = isinstance(error, TimeoutError)
            raise CallNotExecutedError(type(error).__name__, is_timeout) from None
        return self.sock

    def _read_answer(self, sock: gevent.socket.socket, deadline: float) -> bytes:
        """Returns the first line that does not answer an earlier call."""
        received = bytearray()
        try:
            while True:
                line, newline, rest = received.partition(b"\n")
                if newline and not self._answers_earlier_call(line):
                    return bytes(line)
                if newline:
                    received = rest
                    continue
                data = read_until(sock, deadline)
                if not data:
                    raise CallUncertainError("cut")
                received += data
                if len(received) > MAX_ANSWER_BYTES:
                    raise CallUncertainError("endless answer")
        except TimeoutError:
            raise CallUncertainError("no answer", is_timeout=True) from None
        except OSError:
            raise CallUncertainError("cut") from None

    def _answers_earlier_call(self, line: bytearray) -> bool:
        try:
            call_id = json.loads(line)["id"]
        except (ValueError, KeyError, TypeError, RecursionError):
            return False
        return isinstance(call_id, int) and 0 < call_id < self._last_call_id

    def _accepted_count(self, line: bytes, order_count: int) -> int:
        try:
            answer = json.loads(line)
            is_for_this_call = answer["id"] == self._last_call_id
            if is_for_this_call and "error" in answer:
                raise _call_error(str(answer["error"]))
            accepted = answer["result"]["ok_count"] if is_for_this_call else None
        except (ValueError, KeyError, TypeError, RecursionError):
            raise CallUncertainError("unreadable answer") from None
        # Excludes bool, which is a subclass of int.
        if type(accepted) is not int or not 0 <= accepted <= order_count:
            raise CallUncertainError("unreadable answer")
        return accepted


def _call_error(text: str) -> CallNotExecutedError | CallUncertainError:
    """Returns the exception for the error in an answer."""
    for name in NOT_EXECUTED_ERRORS:
        if name in text:
            return CallNotExecutedError(name)
    return CallUncertainError("unreadable answer")
