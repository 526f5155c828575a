"""The director's address: collectors join and report there, anybody asks for a sign of life, and strangers are let go.

Whoever has not joined within a second is closed, and when too many have not, the oldest of them first: their number
never takes what relay, list and collectors need.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from ironfall.platform.lines import LINE_MOST, Lines, Reader, Spoilt, Unreadable, words
from ironfall.platform.reports import Reports
from ironfall.platform.sockets import read
from ironfall.platform.start import Address

JOIN_TIME = 1.0
SILENT = 30.0  # seconds; a collector whose zone is at work reports every few
BACKLOG = 512
JOINED_MOST = 48  # a zone has one collector; more are those that went without a word


class Entry:
    def __init__(self, address: Address, reader: Reader, reports: Reports, known: Callable[[bytes], bool],
                 strangers: int, log: Any, count: Callable[[str], None]) -> None:  # fmt: skip
        self.reader, self.reports, self.known = reader, reports, known
        self.strangers_most, self.log, self.count = strangers, log, count
        self.ready = Event()
        self.strangers: OrderedDict[gevent.Greenlet, None] = OrderedDict()
        self.joined: OrderedDict[gevent.Greenlet, None] = OrderedDict()  # who was silent for longest first
        self.server = StreamServer(address, self._serve, backlog=BACKLOG)

    def start(self) -> None:
        self.server.start()

    def _serve(self, sock: Any, _address: Any) -> None:
        me = gevent.getcurrent()
        self._take_in(self.strangers, me, self.strangers_most)
        lines = Lines()
        try:
            with gevent.Timeout(JOIN_TIME, False):
                if not self._until_joined(sock, lines):
                    return
            if me in self.strangers:
                self.count("strangers too slow")
                self._reject(sock)
                return
            while data := read(sock, SILENT):
                self.joined.move_to_end(me)
                for line in lines.feed(data):
                    self._line(sock, line)
        except Unreadable as cause:
            self.count("strangers rejected" if me in self.strangers else "collectors cut")
            if me in self.joined:
                self.log.info("collector cut", cause=str(cause))
            self._reject(sock)
        except OSError:
            pass
        finally:
            self.strangers.pop(me, None)
            self.joined.pop(me, None)
            sock.close()

    def _take_in(self, those: "OrderedDict[gevent.Greenlet, None]", me: gevent.Greenlet, most: int) -> None:
        those[me] = None
        while len(those) > most:
            oldest, _ = those.popitem(last=False)
            oldest.kill(block=False)
            self.count("connections let go for newer ones")

    def _until_joined(self, sock: Any, lines: Lines) -> bool:
        while data := read(sock, JOIN_TIME + 1):
            found = lines.feed(data)
            for place, line in enumerate(found):
                if not line:
                    continue
                try:
                    kind, told = words(line)
                    if kind == "hb":
                        self.ready.wait()
                        sock.sendall(b"hb_ok\r\n")
                        continue
                    if kind != "telemetry":
                        raise Unreadable(f"{kind} before a joining")
                    self.reader.zone(told)
                except Spoilt as wrong:
                    raise Unreadable(str(wrong)) from None
                me = gevent.getcurrent()
                del self.strangers[me]
                self._take_in(self.joined, me, JOINED_MOST)
                lines.most = LINE_MOST
                for rest in found[place + 1 :]:
                    self._line(sock, rest)
                return True
        return False

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
