"""Durable state: checksummed records, a write-ahead log, and a bounded ring of segments."""
