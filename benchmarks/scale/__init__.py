"""Measurements by size, `python -m benchmarks.scale WHAT`: a module each, played upward by the frame."""
