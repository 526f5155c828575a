"""Where a formula is read: a service of the spread, on an occasion."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache

from benchmarks.capacity.figures import Capacity
from benchmarks.capacity.formula import Formula, asked, assumed, formula, least

DAY = 86_400.0


@dataclass(frozen=True)
class Service:
    """A service by its part of all; its directors, routes and tenants go with its hosts."""

    name: str
    share: float


@dataclass(frozen=True)
class Place:
    capacity: Capacity
    service: Service
    occasion: Occasion


@dataclass(frozen=True)
class Occasion:
    """`changes` of configuration a second in the whole fleet, `turned` hosts that go or come a second, and what goes,
    comes or is heard no more in one instant: hosts of a service, hosts of all, directors. `more`: times as many
    proxies at those directors of a service that are left."""

    name: str
    says: str
    changes: Formula
    turned: Formula
    service_hosts: Formula
    hosts: Formula
    directors: Formula
    more: Formula = formula(1)


@cache
def weights(services: int, exponent: float) -> tuple[float, float]:
    """Of a Zipf spread: the sum of the weights, and the sum of the squares of the shares."""
    total = sum(rank**-exponent for rank in range(1, services + 1))
    return total, sum((rank**-exponent / total) ** 2 for rank in range(1, services + 1))


def spread(asked_for: Mapping[str, float]) -> tuple[Service, Service, Service]:
    """The mean service, the one that 99 in 100 are not larger than, and the largest."""
    services, exponent = int(asked_for["services"]), asked_for["zipf_exponent"]
    total, _ = weights(services, exponent)
    rank = max(1, int(services * 0.01))
    return (
        Service("mean", 1 / services),
        Service("99th percentile", rank**-exponent / total),
        Service("largest", 1 / total),
    )


def _weighted(place: Place) -> float:
    asked_for = place.capacity.asked
    return weights(int(asked_for["services"]), asked_for["zipf_exponent"])[1]


nothing = Formula("0", lambda p: 0.0)
hosts, directors, zones, regions = (
    asked("hosts"),
    asked("directors"),
    asked("zones"),
    asked("regions"),
)
share = Formula("share", lambda p: p.service.share)
service_hosts = Formula("service_hosts", lambda p: p.capacity.asked["hosts"] * p.service.share)
service_directors = Formula(
    "service_directors", lambda p: p.capacity.asked["directors"] * p.service.share
)
# The mean over all that a host's or director's service has, each host or director counted.
met_hosts = Formula("met_hosts", lambda p: p.capacity.asked["hosts"] * _weighted(p))
met_directors = Formula("met_directors", lambda p: p.capacity.asked["directors"] * _weighted(p))
proxies = Formula(
    "proxies", lambda p: p.capacity.assumed["proxies_a_director"].value * p.occasion.more.of(p)
)
changes = Formula("changes", lambda p: p.occasion.changes.of(p))
turned = Formula("turned", lambda p: p.occasion.turned.of(p))
lost_service_hosts = Formula("lost_service_hosts", lambda p: p.occasion.service_hosts.of(p))
lost_hosts = Formula("lost_hosts", lambda p: p.occasion.hosts.of(p))
lost_directors = Formula("lost_directors", lambda p: p.occasion.directors.of(p))

SAID = {
    "share": "the service's part of all hosts",
    "service_hosts, service_directors": "hosts * share, directors * share",
    "met_hosts, met_directors": "hosts or directors of a service, a mean over hosts and not over services",
    "proxies": "`proxies_a_director`; where a zone is lost, with those of its directors",
    "changes": "of configuration a second, of the whole fleet",
    "turned": "hosts that go or come a second, of the whole fleet",
    "lost_hosts, lost_directors": "that go, come or are heard no more in one instant, of the whole fleet",
    "lost_service_hosts": "of these the service's hosts",
    "WHAT.FIGURE[size]": "a measurement at a size; slope(...) what one more costs, first(...) the same between the two "
    "smallest sizes, where the keepers are not behind yet, max(...) the most measured",
}

_changed, _turned = (
    asked("changes_per_day") / DAY,
    (2 * asked("restarts_per_day") + asked("failures_per_day")) / DAY,
)
_peak = assumed("peak")
_rack_part = asked("rack_hosts") / hosts
_of_a_zone = least(service_hosts / assumed("service_zones"), hosts / zones)
# A service that one region holds has its directors there too; of a larger one the others' directors hear it no more.
_apart = Formula(
    "apart",
    lambda p: 0.0 if service_hosts.of(p) <= (hosts / regions).of(p) else (hosts / regions).of(p),
)
OCCASIONS = {
    "calm": Occasion("calm", "nothing changes", nothing, nothing, nothing, nothing, nothing),
    "day": Occasion(
        "an ordinary day",
        "its busiest hour: the mean of the day times `peak`",
        _changed * _peak,
        _turned * _peak,
        formula(1),
        formula(1),
        nothing,
    ),
    "rack": Occasion(
        "a rack",
        "all its hosts in one instant; all of one service's zone at worst",
        _changed,
        _turned,
        least(asked("rack_hosts"), _of_a_zone),
        asked("rack_hosts"),
        directors * _rack_part,
    ),
    "zone": Occasion(
        "a zone lost, back cold",
        "its hosts and directors in one instant, gone and then back",
        _changed,
        _turned,
        _of_a_zone,
        hosts / zones,
        directors / zones,
        assumed("service_zones") / (assumed("service_zones") - 1),
    ),
    "region": Occasion(
        "a region apart",
        "for an hour, then back in one instant",
        _changed,
        _turned,
        _apart,
        hosts / regions,
        directors / regions,
    ),
    "keepers": Occasion(
        "all keepers restarted",
        "all that speak to them come anew",
        _changed,
        _turned,
        nothing,
        hosts,
        directors,
    ),
    "directors": Occasion(
        "a region's directors restarted",
        "in one instant",
        _changed,
        _turned,
        nothing,
        nothing,
        directors / regions,
    ),
}
