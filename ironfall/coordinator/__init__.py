"""A coordinator as a process: disk, peers, clients and clocks around the consensus and the ledger.

`client` is for the processes that call coordinators; it imports neither consensus nor ledger.
"""
