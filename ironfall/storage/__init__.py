"""Durable storage: checksummed records, a write-ahead log, and a bounded queue in segment files."""
