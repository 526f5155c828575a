"""The decisions on what proxies are told: weights, admission, assignment to tables. No I/O."""
