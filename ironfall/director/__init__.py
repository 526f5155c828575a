"""The live director: the event loop of the decision engine, and the long-poll protocol.

`event_loop` owns the decision engine; `recorded_batches` records and replays its input. `clock`,
`channel`, `sessions`, `host_list`, `report_aggregation`, `report_weighting`, `status_report` and
`fleet_lease` hold state and do no I/O. `long_poll_director` and `long_poll_sink` combine them for
the long-poll protocol. `http_handlers`, `host_list_watch`, `health_checks`, `fleet_member` and
`program` do the I/O. `explain` reads the evidence behind orders for the logs.
"""
