"""The decisions alone by proxies, with 34 hosts: processor time at rest, the longest turn."""

from benchmarks.scale import _decisions

SIZES = (40, 80, 160, 320, 640)
BY = "proxies"
HOSTS = 34
FIGURES, COUNTED, LEFT_OUT = _decisions.FIGURES, _decisions.COUNTED, _decisions.LEFT_OUT
MEMORY_MB, PROCESSES = _decisions.memory_mb, 0


def play(size, chance):
    return _decisions.measure(HOSTS, size, chance)
