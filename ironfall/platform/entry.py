"""The director's address: collectors join and report there, anybody asks for a sign of life, and strangers are let go.

Whoever has not joined within a second is closed, and when too many have not, the oldest of them first: their number
never takes what relay, list and collectors need.
"""

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from ironfall.platform.lines import LINE_MOST, Lines, Reader, Spoilt, Unreadable, words
from ironfall.platform.reports import Reports
from ironfall.platform.sockets import read, read_by
from ironfall.platform.start import Address

JOIN_TIME = 1.0
SILENT = 30.0  # seconds at the least; a collector whose zone is at work reports each period
PERIODS = 10  # of reports that a collector may be silent for, where that is longer
BACKLOG = 512
ACCEPTED_MOST = (
    16  # before those let go for them have closed: as many descriptors are open beyond the bound
)
LINES_AT_ONCE = 64  # of one connection, before the others have their turn
COLLECTORS = 4  # a zone has one; more are those that went without a word, and those that come anew
JOINED_LEAST = 48


class Entry:
    def __init__(
        self,
        address: Address,
        reader: Reader,
        reports: Reports,
        known: Callable[[bytes], bool],
        strangers: int,
        report_interval: float,
        log: Any,
        count: Callable[[str], None],
    ) -> None:
        """`strangers`: the most connections that have not joined; `report_every`: seconds."""
        self.reader, self.reports, self.known = reader, reports, known
        self.strangers_most, self.log, self.count = strangers, log, count
        self.joined_most = max(JOINED_LEAST, COLLECTORS * len(reader.zones))
        self.silent = max(SILENT, PERIODS * report_interval)
        self.ready = Event()
        self.strangers: OrderedDict[gevent.Greenlet, None] = OrderedDict()
        self.joined: OrderedDict[gevent.Greenlet, None] = (
            OrderedDict()
        )  # who was silent for longest first
        self.server = StreamServer(address, self._serve, backlog=BACKLOG)
        self.server.max_accept = ACCEPTED_MOST

    def start(self) -> None:
        self.server.start()

    def _serve(self, sock: Any, _address: Any) -> None:
        me = gevent.getcurrent()
        self._take_in(self.strangers, me, self.strangers_most)
        lines = Lines()
        try:
            if not self._until_joined(sock, lines):
                return
            while data := read(sock, self.silent):
                if me not in self.joined:
                    return  # let go for a newer one, in the same moment
                self.joined.move_to_end(me)
                self._lines(sock, lines.feed(data))
        except Unreadable as cause:
            self.count("strangers rejected" if me in self.strangers else "collectors cut")
            if me in self.joined:
                self.log.info("collector cut", cause=str(cause))
            self._reject(sock)
        except TimeoutError:
            if me in self.strangers:
                self.count("strangers too slow")
                self._reject(sock)
            elif me in self.joined:
                self.count("collectors silent")
        except OSError:
            pass
        finally:
            self.strangers.pop(me, None)
            self.joined.pop(me, None)
            sock.close()

    def _take_in(
        self, those: "OrderedDict[gevent.Greenlet, None]", me: gevent.Greenlet, most: int
    ) -> None:
        those[me] = None
        while len(those) > most:
            oldest, _ = those.popitem(last=False)
            oldest.kill(block=False)
            self.count("connections let go for newer ones")

    def _until_joined(self, sock: Any, lines: Lines) -> bool:
        """Whether it has; raises `TimeoutError` where it took too long, whatever it has sent meanwhile."""
        until, late = time.monotonic() + JOIN_TIME, False
        while not late and (data := read_by(sock, until)):
            found = lines.feed(data)
            for place, line in enumerate(found):
                self._yield_turn(place)
                if not line:
                    continue
                try:
                    kind, told = words(line)
                    if kind == "hb":
                        if not self.ready.is_set():
                            # That long it is kept waiting here, not by its own fault.
                            waited = time.monotonic()
                            self.ready.wait()
                            until += time.monotonic() - waited
                        sock.settimeout(max(0.001, until - time.monotonic()))
                        sock.sendall(b"hb_ok\r\n")
                        continue
                    if kind != "telemetry":
                        raise Unreadable(f"{kind} before a joining")
                    self.reader.zone(told)
                except Spoilt as wrong:
                    raise Unreadable(str(wrong)) from None
                me = gevent.getcurrent()
                if me not in self.strangers:
                    return False  # let go for a newer one, in the same moment
                del self.strangers[me]
                self._take_in(self.joined, me, self.joined_most)
                lines.most = LINE_MOST
                self._lines(sock, found[place + 1 :])
                return True
            gevent.sleep(0)
            # What was there when the time was over, by the director's own standstill, was looked at once.
            late = time.monotonic() > until
        if late:
            raise TimeoutError("it went on and did not join")
        return False

    def _lines(self, sock: Any, found: list[bytes]) -> None:
        for place, line in enumerate(found):
            self._line(sock, line)
            self._yield_turn(place)
        gevent.sleep(0)

    @staticmethod
    def _yield_turn(place: int) -> None:
        # Whoever sends without a pause is always there to be read, and none else would have a turn.
        if place % LINES_AT_ONCE == LINES_AT_ONCE - 1:
            gevent.sleep(0)

    def _reject(self, sock: Any) -> None:
        try:
            sock.settimeout(0.2)
            sock.sendall(b"reject\r\n")
        except OSError:
            pass

    def _line(self, sock: Any, line: bytes) -> None:
        """A joined collector's: a bad one is passed over, its neighbours are taken."""
        if not line:
            return
        try:
            kind, told = words(line)
            if kind == "upstream_stats":
                met = self.reader.met(told)
                if not self.known(met.host):
                    raise Spoilt("endpoint: no host of the list")
                if met.tries:
                    self.reports.met(met)
            elif kind == "client_stats":
                self.reports.came(self.reader.came(told))
            elif kind == "hb":
                sock.sendall(b"hb_ok\r\n")
            else:
                raise Spoilt(f"{kind} from a collector")
        except Spoilt:
            self.count("reports passed over")
        else:
            self.count("reports")
