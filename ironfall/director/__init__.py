"""The live director: the decisions' event loop, and the long-poll protocol around it.

`event_loop` owns the decisions, and `recorded_batches` records and replays what they are given.
`clock`, `channel`, `sessions`, `host_list`, `report_aggregation`, `report_weighting`,
`status_report` and `fleet_lease` are pure state. `long_poll_director` and `long_poll_sink` put them
together for the long-poll protocol; `http_handlers`, `host_list_watch`, `health_checks`,
`fleet_member` and `program` do the I/O. `explain` reads evidence for the logs.
"""
