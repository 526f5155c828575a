"""Measurements, run by hand: `python -m benchmarks.NAME`. Loopback, one machine, the floor in the same run."""
