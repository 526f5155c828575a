"""Emulated collectd on each host: its gauges to the directors, late, repeated, out of order, and untrue."""

import random
import time

import gevent
from gevent import socket

from ironfall.lab.day import ReadingsLine
from ironfall.lab.hosts import Fleet, Host
from ironfall.metrics import collectd

To = tuple[str, tuple[str, int]]  # the zone of a director, and where it listens


def gauges_of(host: Host, at: float, every: float) -> list[collectd.ValueList]:
    """What the host's agent reads, as value lists; `host.lies` times what is true."""
    found = (
        ("util", host.gauges.util),
        ("queue", host.gauges.queue),
        ("inflight", host.gauges.inflight),
    )
    return [
        collectd.ValueList(
            host.name,
            "exchanges",
            "",
            "gauge",
            name,
            at,
            every,
            [(collectd.GAUGE, value * host.lies)],
        )
        for name, value in found
    ]


class Nodes:
    def __init__(self, fleet: Fleet, line: ReadingsLine, to: list[To], seed: int) -> None:
        self.line, self.to, self.chance = line, to, random.Random(seed)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for host in fleet.hosts.values():
            gevent.spawn(self._run, host)

    def _run(self, host: Host) -> None:
        gevent.sleep(self.line.every * self.chance.random())
        while True:
            gevent.sleep(self.line.every)
            # The agent ends with its host's machine, not with the program on it that hangs.
            if host.up and not host.unread:
                lists = gauges_of(host, time.time() - self.line.skew, self.line.every)
                for packet in collectd.encode(lists):
                    for _ in range(1 + (self.chance.random() < self.line.repeat)):
                        late = (
                            self.line.spread
                            * self.chance.random()
                            * (self.chance.random() < self.line.late)
                        )
                        gevent.spawn_later(self.line.delay + late, self._send, host, packet)

    def _send(self, host: Host, packet: bytes) -> None:
        for zone, address in self.to:
            if not host.cut_from(zone):
                try:
                    self.sock.sendto(packet, address)
                except OSError:
                    pass  # as collectd: what nobody listens for is gone
