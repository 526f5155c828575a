"""A keeper as a process: disk, peers, clients and clocks round the agreement and the ledger.

`client` is the end that others use: it imports neither.
"""
