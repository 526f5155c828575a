"""Stand-ins for the review's cases: hosts, registry, keepers and ways between processes."""
