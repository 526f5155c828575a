"""Orders to the relay, a call at a time: JSON-RPC lines, each answered soon or never."""

import json
import random
import time
from collections.abc import Callable
from typing import Any

from gevent.event import Event

from ironfall.api.http import ended
from ironfall.platform.outbox import CALL_MOST, Outbox
from ironfall.platform.sockets import Backoff, dial, read_by
from ironfall.platform.start import Address

DIAL_TIME = 0.4
SEND_TIME = 1.0  # a call's bytes; what is not sent whole is not done
ANSWER_TIME = 0.25  # from the call's last byte; the relay answers within 50 ms or never
IDLE_MOST = (
    3.0  # the relay closes what stands idle for up to ten seconds; a new connection is no cost
)
ANSWER_MOST = 64 * 1024
SIZE_LEAST = 4 * 1024  # bytes of a call's orders where the way to the relay is slow
WAIT_FIRST, WAIT_MOST = 0.03, 0.5  # between two tries, jittered
TURNED_AWAY = ("too_many_calls", "bad_request")  # the errors by which nothing was done


class NotDone(Exception):
    """The call was not carried out, surely: said again it costs nothing."""


class Uncertain(Exception):
    """It was carried out whole or not at all."""


class Calls:
    def __init__(
        self,
        address: Address,
        outbox: Outbox,
        proof_time: float,
        chance: random.Random,
        log: Any,
        count: Callable[[str], None],
        unbound: Callable[[int], None],
        begun: Callable[[int], None],
    ) -> None:
        self.address, self.outbox, self.log, self.count = address, outbox, log, count
        self.backoff = Backoff(WAIT_FIRST, WAIT_MOST, chance)
        self.unbound, self.begun = unbound, begun
        self.proof_time = (
            proof_time  # how long a call that may have been carried out is given to show it
        )
        self.stir, self.proved = Event(), Event()
        self.number = 0
        self.sock: Any = None
        self.used = 0.0
        self.dialled = address  # where the connection leads
        # A way that takes the bytes slowly would be sent the same again and again, each time too late: shorter calls.
        self.size, self.late = (
            CALL_MOST,
            0,
        )  # bytes of the next call's orders; calls in a row that ran out of time
        self.longest = 0.0  # of the calls since last asked
        self.bad: set[str] = set()  # kinds of orders that the relay refused, each logged once

    def run(self) -> None:
        while True:
            self.stir.wait()
            self.stir.clear()
            while orders := self.outbox.take(self.size):
                self._one(orders)

    def moved(self, address: Address) -> None:
        """The relay listens elsewhere: the next call goes there, the one that is out is answered where it was made."""
        self.address = address

    def applied(self, nonce: int) -> None:
        if nonce == self.outbox.nonce_out:
            self.proved.set()

    def _one(self, orders: list[str]) -> None:
        self.proved.clear()
        self.count("calls")
        if self.outbox.nonce_out >= 0:
            self.begun(self.outbox.nonce_out)
        try:
            begun = time.monotonic()
            done = self._call(orders)
            self.longest = max(self.longest, time.monotonic() - begun)
        except NotDone as cause:
            self.count(f"calls not done: {cause}")
            self._late(str(cause) == "TimeoutError")
            self.outbox.undone()
            self.backoff.wait()
            return
        except Uncertain as cause:
            self.count(f"calls uncertain: {cause}")
            self._late(str(cause) == "no answer")
            self.close()
            # A confirmation of it shows that it was carried out; sent twice, it would fill the channel twice.
            if self.outbox.nonce_out >= 0 and self.proved.wait(self.proof_time):
                self.count("calls proved")
                self.outbox.done(len(orders))
                self.backoff.reset()
            else:
                self.outbox.undone()
                self.backoff.wait()  # a relay that cuts off each call at once may have carried out each
            return
        self.backoff.reset()
        self._late(False)
        if bad := self.outbox.done(done):
            (kind, *about), order = bad
            self.count("orders refused")
            if kind not in self.bad:
                self.bad.add(kind)
                self.log.warning("an order was refused", order=order)
            if kind == "bind":
                self.unbound(about[0])

    def _late(self, late: bool) -> None:
        """Once may be an answer that was lost; twice in a row is the way."""
        self.late = self.late + 1 if late else 0
        if self.late > 1:
            self.size = max(SIZE_LEAST, self.size // 2)
        elif not late:
            self.size = min(CALL_MOST, self.size + SIZE_LEAST)

    def _call(self, orders: list[str]) -> int:
        """How many of the orders were taken."""
        self.number += 1
        call = b'{"jsonrpc":"2.0","id":%d,"method":"commit","params":{"orders":[%s]}}\n' % (
            self.number,
            ",".join(orders).encode(),
        )
        unused = time.monotonic() - self.used > IDLE_MOST or self.dialled != self.address
        if self.sock is not None and (unused or ended(self.sock)):
            self.close()
        try:
            if self.sock is None:
                self.dialled = self.address
                self.sock = dial(self.address, DIAL_TIME)
            self.sock.settimeout(SEND_TIME)
            self.sock.sendall(call)
        except OSError as cause:
            # The relay reads a call by its end: without its last byte it is none.
            self.close()
            raise NotDone(type(cause).__name__) from None
        # Not from before the dial: one that took long left the answer no time, and what was done went again.
        self.used = time.monotonic()
        until = self.used + ANSWER_TIME
        answer = bytearray()
        try:
            while True:
                line, ends, rest = answer.partition(b"\n")
                if ends and not self._earlier(line):
                    return self._read(line, len(orders))
                answer = rest if ends else answer
                if b"\n" in answer:
                    continue
                more = read_by(self.sock, until)
                answer += more
                if not more or len(answer) > ANSWER_MOST:
                    raise Uncertain("cut" if not more else "endless answer")
        except TimeoutError:
            raise Uncertain("no answer") from None
        except OSError:
            raise Uncertain("cut") from None

    def _earlier(self, line: bytearray) -> bool:
        """Whether it answers a call before this one, once more: the answer to this may still come."""
        try:
            told = json.loads(line)["id"]
        except (ValueError, KeyError, TypeError, RecursionError):
            return False
        return isinstance(told, int) and 0 < told < self.number

    def _read(self, line: bytearray, most: int) -> int:
        try:
            told = json.loads(line)
            if told["id"] != self.number:
                raise Uncertain("unreadable answer")
            if "error" in told:
                said = str(told["error"])
                for name in TURNED_AWAY:
                    if name in said:
                        raise NotDone(name)
                raise Uncertain("unreadable answer")
            done = told["result"]["ok_count"]
        except (ValueError, KeyError, TypeError, RecursionError):
            raise Uncertain("unreadable answer") from None
        if not isinstance(done, int) or isinstance(done, bool) or not 0 <= done <= most:
            raise Uncertain("unreadable answer")
        return done

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None
