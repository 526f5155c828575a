"""Servers and weights from files of the operators': each change whole or not at all. `docs/files.md`."""
