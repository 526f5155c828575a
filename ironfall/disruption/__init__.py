"""The ledger of planned disruption: which hosts and directors may be out of service.

One budget covers all causes: drains, restarts, releases, maintenance and failures. `Ledger` is a
state machine over a replicated log, without I/O or clock: `Ledger.apply(index, entry)` returns the
answer to an entry, and `snapshot()` and `restore()` its whole state. `Fence` is for the host
registry and host agents, which carry orders out. docs/fleet-ledger.md has states, formulas and
bounds.

An entry is the JSON object `{"k": KIND, "at": TIME, ...}`, with the leader's time in tenths of a
millisecond since 1970; the log's time is the latest of them. An answer is `{"ok": ...}` or
`{"no": REASON}`, and `"moved"`: the transitions that the entry caused, each
`[target, request or scope, state, token, cause]`. A target is `host/NAME` or `director/NAME`.
Fields in brackets are optional.

Entries of the leader:

- `rules`: rules, `DisruptionRules.facts()` of its settings.
- `load`: class, hours: 24 numbers; the expected load by hour of the day (UTC), in capacity units.
- `lapse`: role, name, inc; a lease that ran out (`Ledger.expired_leases()`).
- `digest`: made, and differences of what heartbeat aggregators heard (docs/observers.md), with ages
  as of `made`: [zones: {zone: unknown}], [came: {director: [inc, zone, version]}],
  [directors: {name: status}], [hosts: {name: [inc, n, up, quiet, token, age]}],
  [lapsed: {director: [inc, age, sure]}], [vouch: {zone: [age, index, {host: token} or null]}].
- `tick`: none; once a second, does what is due by time and serves waiting requests.

Entries of members:

- `list`: v, [hosts: {name: {zone, kind, [tenants], strength, classes, ready, [token], [started]}}],
  [gone]; the registry's changes of the host list at version v. `classes` is a bit mask, `token` the
  newest that the registry acted on for the host.
- `join`: director, inc, zone, [version]; acquires or renews a director's lease.
- `words`: directors: {name: {inc, n, [proxies, binding, waiting, bare, refused, fulfilled, near,
  leaving, token, drained: {host: token}, silent: [host], took: {director: [inc, proxies]}]}};
  status reports. Shares are parts per million, `near` of the limit of a rule.
- `agents`: hosts: {name: {inc, n, up, [quiet], [token]}}; host agents' reports, `quiet` is the
  idle time.

Entries of holders of permits:

- `hold`: holder, inc; acquires or renews a holder's lease.
- `ask`: holder, inc, n, units, length, [release]; requests permits for all targets together. `n`
  counts up; a repeated request is answered again.
- `cancel`: holder, inc, n; withdraws what waits or can be undone of a request.
- `drain`, `out`, `back`: holder, inc, unit, token; the steps of a permit, answered with the new
  token.
- `adopt`: holder, inc, unit; a restarted holder takes up a lost permit.

Entries of operators, and of canary analysis:

- `halt`, `lift`: scope, by, [reason]; the scope is `all`, `zone NAME`, `tenant NAME` or
  `release NAME`.
- `forget`: unit, by; the target is gone for good.
- `harm`: release, reason; the release is harmful and is halted.
"""

from ironfall.disruption.fencing import Fence
from ironfall.disruption.ledger import Ledger
from ironfall.disruption.settings import DisruptionRules, FleetSettings
from ironfall.disruption.settings_reader import read_fleet

__all__ = ["DisruptionRules", "Fence", "FleetSettings", "Ledger", "read_fleet"]
