"""Sends measurements and receives host readings in Graphite's and collectd's published formats.

`graphite`, `collectd`, `mapping`, `readings` and `spool` do no I/O; the sockets are in `links`.
"""
