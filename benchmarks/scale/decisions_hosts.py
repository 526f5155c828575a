"""The decisions alone by hosts, with 40 proxies: processor time at rest, the longest turn."""

from benchmarks.scale import _decisions

SIZES = (34, 68, 136, 272, 544)
BY = "hosts"
PROXIES = 40
FIGURES, COUNTED, LEFT_OUT = _decisions.FIGURES, _decisions.COUNTED, _decisions.LEFT_OUT
MEMORY_MB, PROCESSES = _decisions.memory_mb, 0


def play(size, chance):
    return _decisions.measure(size, PROXIES, chance)
