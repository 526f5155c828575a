"""The ledger of who may be out: one budget for all causes, as a state machine over a replicated log. No I/O, no clock.

`Ledger.apply(index, entry)` gives the answer to an entry (JSON bytes both), `snapshot()` and `restore(bytes)` its whole
state. Every entry is `{"k": KIND, "at": TIME, ...}`, the time the leader's, in tenths of a millisecond since 1970; the
log's time is the latest that came. An answer is `{"ok": ...}` or `{"no": REASON}`, and `"moved"`: what it changed, each
`[unit, ask or scope, state, token, cause]`. A unit is `host/NAME` or `director/NAME`. Fields in brackets are optional.

| k | fields | who sends it, what it does |
| --- | --- | --- |
| rules | rules: {name: figure} | leader, from its terms (`FleetTerms.rules(service).facts()`): all is counted by them |
| load | class, hours: 24 numbers | expected load, in the unit of hosts' strength, by hour of the day (UTC) |
| list | v, [hosts: {name: {zone, kind, [tenants], strength, classes, ready, [token], [started]}}], [gone] \
| what changed in the list at version v; classes is a mask, token the newest that the registry acted on for the host |
| join | director, inc, zone, [version] | a director's lease, asked for or renewed: `{"until": TIME}` |
| hold | holder, inc | the same of who asks for permits |
| lapse | role, name, inc | leader: a lease ran out (`due()` names those) |
| words | directors: {name: {inc, n, [proxies, binding, waiting, bare, refused, fulfilled, near, leaving, token, \
drained: {host: token}, silent: [host], took: {director: [inc, proxies]}]}} | what directors stand for; shares are of \
a million, near of the limit of a rule; drained, silent, took are whole and replace what was said before |
| agents | hosts: {name: {inc, n, up, [quiet], [token]}} | hosts' agents; quiet: how long nothing came |
| digest | made, [zones: {zone: unknown}], [came: {director: [inc, zone, version]}], [directors: {name: word}], \
[hosts: {name: [inc, n, up, quiet, token, age]}], [lapsed: {director: [inc, age, sure]}], \
[vouch: {zone: [age, index of its set, {host: token} or null]}] \
| leader: differences of what observers heard (docs/observers.md), ages as of made, by the log's time |
| ask | holder, inc, n, units, length, [release] | may these be out, all together; n counts up, sent again is answered |
| cancel | holder, inc, n | what waits or can be undone of an ask |
| drain, out, back | holder, inc, unit, token | the steps of a permit; the answer has the new token |
| adopt | holder, inc, unit | a holder that came anew takes up a lost permit |
| forget | unit, by | operator: gone for good |
| halt, lift | scope, by, [reason] | operator; scope: all, zone NAME, tenant NAME, release NAME |
| harm | release, reason | a verdict on a release: it halts itself |
| tick | - | leader, once a second: what is due by time, and who waits is served |

`marks()` is what each open unit is to be and under which token; `due()` the leases that ran out; `look()` what
operators see. `Fence` is for registry and agents. docs/fleet-ledger.md has states, formulas and bounds.
"""

from ironfall.disruption.fencing import Fence
from ironfall.disruption.ledger import Ledger
from ironfall.disruption.settings import DisruptionRules, FleetSettings
from ironfall.disruption.settings_reader import read_fleet

__all__ = ["Fence", "FleetSettings", "Ledger", "DisruptionRules", "read_fleet"]
