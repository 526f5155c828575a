"""The heartbeat aggregator's process and its client: the I/O around `membership`."""
