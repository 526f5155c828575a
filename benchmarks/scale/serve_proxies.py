"""`ironfall serve` by proxies, with 34 hosts: processor time, memory, bytes, a drain and return."""

from benchmarks.scale import _serving

SIZES = (40, 100, 250, 640)
BY = "proxies"
HOSTS = 34
FIGURES, LEFT_OUT = _serving.FIGURES, _serving.LEFT_OUT
MEMORY_MB, PROCESSES = _serving.memory_mb, 1


def play(size, chance):
    return _serving.measure(HOSTS, size, chance)
