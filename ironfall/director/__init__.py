"""The live director: the module's turn loop, its channel, list, probes and intake behind the long-poll protocol.

`turns` owns the decisions; `channel`, `intake`, `roster` and `sessions` are pure state; `program` does the I/O.
"""
