"""`ironfall serve` by hosts, with 40 proxies: processor time, memory, bytes, a drain and return."""

from benchmarks.scale import _serving

SIZES = (34, 86, 217, 544)
BY = "hosts"
PROXIES = 40
FIGURES, LEFT_OUT = _serving.FIGURES, _serving.LEFT_OUT
MEMORY_MB, PROCESSES = _serving.memory_mb, 1


def play(size, chance):
    return _serving.measure(size, PROXIES, chance)
