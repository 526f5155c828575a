"""The ledger of planned disruption: which hosts and directors may be out of service.

Every cause draws on the same budgets: drains, restarts, releases, maintenance and failures.
`Ledger` is a deterministic state machine over a replicated log; it does no I/O and reads no clock.
`Ledger.apply(index, entry)` returns the answer to an entry; `snapshot()` and `restore()` save and
load the whole state. The host registry and the host agents, which carry out orders, use `Fence` to
reject outdated ones. docs/fleet-ledger.md has states, formulas and bounds.

An entry is the JSON object `{"k": KIND, "at": TIME, ...}`, with the leader's time in tenths of a
millisecond since 1970; the log's time is the latest time of any entry so far. An answer is
`{"ok": ...}` or `{"no": REASON}`. If the entry caused transitions, the answer also has `"moved"`, a
list of `[target, request or scope, state, token, cause]`. A target is `host/NAME` or
`director/NAME`. Fields in brackets are optional.

Entries that the leader proposes:

- `rules`: rules; sets the rules, `DisruptionRules.facts()` of the leader's settings.
- `load`: class, hours; sets the expected load of a traffic class: 24 numbers, one for each hour of
  the day (UTC), in capacity units.
- `lapse`: role, name, inc; ends a lease that has expired (`Ledger.expired_leases()`).
- `digest`: made, and what has changed in the heartbeat aggregators' data (docs/observers.md). Ages
  are as of `made`: [zones: {zone: unknown}], [came: {director: [inc, zone, version]}],
  [directors: {name: status}], [hosts: {name: [inc, n, up, quiet, token, age]}],
  [lapsed: {director: [inc, age, sure]}], [vouch: {zone: [age, index, {host: token} or null]}].
  `entries.Digest` explains the rows.
- `tick`: no fields; proposed once a second. Runs everything that depends on time alone and serves
  waiting requests.

Entries from fleet members:

- `list`: v, [hosts: {name: {zone, kind, [tenants], strength, classes, ready, [token], [started]}}],
  [gone]; the registry's changes to the host list at version v. `classes` is a bit mask; `token` is
  the newest one that the registry acted on for the host.
- `join`: director, inc, zone, [version]; acquires or renews a director's lease.
- `words`: directors: {name: {inc, n, [proxies, binding, waiting, bare, refused, fulfilled, near,
  leaving, token, drained: {host: token}, silent: [host], took: {director: [inc, proxies]}]}};
  directors' status reports. Shares are in parts per million; `near` is a share of a limit.
  `records.Director` explains the fields.
- `agents`: hosts: {name: {inc, n, up, [quiet], [token]}}; host agents' reports. `quiet` is the
  idle time.

Entries from permit holders:

- `hold`: holder, inc; acquires or renews a holder's lease.
- `ask`: holder, inc, n, units, length, [release]; requests permits for all targets together. `n`
  increases with each request; a repeated request gets the current outcome as its answer.
- `cancel`: holder, inc, n; drops a waiting request, or withdraws its permits that can still be
  withdrawn.
- `drain`, `out`, `back`: holder, inc, unit, token; the steps of a permit. Each is answered with the
  permit's newest token.
- `adopt`: holder, inc, unit; a restarted holder takes over a lost permit.

Entries from operators and from canary analysis:

- `halt`: scope, by, reason; halts a scope, `all`, `zone NAME`, `tenant NAME` or `release NAME`.
- `lift`: scope, by; lifts the halt of a scope.
- `forget`: unit, by; the target is permanently gone.
- `harm`: release, reason; the release is harmful and is halted.
"""

from ironfall.disruption.fencing import Fence
from ironfall.disruption.ledger import Ledger
from ironfall.disruption.settings import DisruptionRules, FleetSettings
from ironfall.disruption.settings_reader import read_fleet

__all__ = ["DisruptionRules", "Fence", "FleetSettings", "Ledger", "read_fleet"]
