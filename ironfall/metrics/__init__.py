"""Measurements out and node readings in, by Graphite's and collectd's published formats.

`graphite`, `collectd`, `mapping`, `readings` and `spool` do no I/O; `links` has the sockets.
"""
