"""Samples of everything that the program stores, written by `python -m tests.stored.write`."""
