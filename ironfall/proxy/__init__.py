"""The data-plane proxy: balances requests by the tables of a director, retries and reports load.

Pure: `load_balancing` (choice of a host, retry rules), `load_reports` (what is reported).
I/O: `connection_pool` (connections to hosts), `request_forwarding` (attempts of a request),
`control_client` (the session with a director), `table_cache` (tables on disk), `initial_tables`
(tables after a start), `server` (client connections, and the whole proxy).
Shared: `environment` (clock, random source, event log).
"""
