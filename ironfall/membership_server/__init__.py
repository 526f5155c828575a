"""Heartbeat aggregators as processes, and their client: the I/O beside the pure `membership`."""
