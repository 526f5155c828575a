"""What proxies are told: host weights, admission, assignment of proxies to tables. No I/O."""
