"""What outlives a process: checked records, an append-only journal with a snapshot, and a ring of bounded files."""
