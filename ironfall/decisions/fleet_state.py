"""State that all parts of the decisions share: hosts, proxies, traffic classes and zone paths."""

from collections import defaultdict

from ironfall.decisions.interface import RequestClass, ServiceSettings
from ironfall.decisions.records import INITIAL_BACKOFF, Host, Proxy, TrafficClass, ZonePath

# How long a host stays out of the tables of one traffic class. Long, since it serves the others.
CLASS_EXCLUSION_TIME = 4 * INITIAL_BACKOFF
# `Host.excluded_until` of a class that operators keep off a host.
EXCLUDED_BY_OPERATORS = 1 << 62

# A shard and, where a class is zone-local, a zone: every proxy needs a host of its own location.
Location = tuple[int, int]
# The proxies that use each table; under `UNASSIGNED` those that use what they came with.
ProxiesByTable = dict[int, list[int]]


class FleetState:
    """The records of one director, and how its tables are numbered.

    Each shard has `tables_per_shard` tables: a table for each zone that all traffic classes share,
    then a table for each zone and class, for classes that need tables of their own.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self.zones = settings.zones
        self.hosts: dict[bytes, Host] = {}
        self.proxies: dict[int, Proxy] = {}
        self.traffic_classes = [_traffic_class(settings, c) for c in settings.classes]
        self.zone_paths = [[ZonePath() for _ in range(self.zones)] for _ in range(self.zones)]
        self.has_zone_local_classes = any(c.zone_local for c in settings.classes)
        self.tables_per_shard = self.zones * (1 + len(self.traffic_classes))
        # Whether a withdrawal is an entry for every proxy, or where its tables name the host alone.
        self.notifies_all_proxies = settings.notifies_all_proxies
        self.shard_count = 1
        # Whether an endpoint list newer than the one kept over the start has come.
        self.has_fresh_list = False

    def serving_hosts(self) -> list[Host]:
        """Returns the hosts that are ready and not withdrawn."""
        return [h for h in self.hosts.values() if h.is_ready and not h.is_withdrawn]

    def serving_hosts_by_shard(self) -> list[list[Host]]:
        """Returns the serving hosts of each shard."""
        serving = self.serving_hosts()
        return [[h for h in serving if h.shard == shard] for shard in range(self.shard_count)]

    def location(self, record: Host | Proxy) -> Location:
        """Returns where a host serves, or where a proxy needs a host."""
        return record.shard, record.zone if self.has_zone_local_classes else 0

    def served_locations(self) -> set[Location]:
        """Returns the locations that have a serving host."""
        return {self.location(h) for h in self.serving_hosts()}

    def proxies_by_table(self) -> ProxiesByTable:
        """Returns the proxies that use each table."""
        users = defaultdict[int, list[int]](list)
        for number, proxy in self.proxies.items():
            for table in set(proxy.tables):
                users[table].append(number)
        return users

    def class_table_groups(self, now: int) -> list[int]:
        """Returns by traffic class 0 for the shared tables, or the number of its own group."""
        groups = []
        for index, traffic_class in enumerate(self.traffic_classes):
            until = max((h.excluded_until[index] for h in self.hosts.values()), default=0)
            was_excluded_lately = 0 < until > now - CLASS_EXCLUSION_TIME
            has_own_tables = traffic_class.is_zone_local or was_excluded_lately
            groups.append(1 + index if has_own_tables else 0)
        return groups

    def table_number(self, shard: int, group: int, zone: int) -> int:
        """Returns the number of a table."""
        return shard * self.tables_per_shard + self.zones * group + zone


def _traffic_class(settings: ServiceSettings, request_class: RequestClass) -> TrafficClass:
    """A second attempt after any failure is allowed only where it can't take effect twice."""
    key_outlives_retries = (
        request_class.idempotency_key_scope == "all"
        and request_class.idempotency_key_lifetime
        >= request_class.deadline + settings.max_message_delay
    )
    is_idempotent = request_class.idempotency == "always" or (
        request_class.idempotency == "keyed" and key_outlives_retries
    )
    return TrafficClass(
        value_per_work=request_class.priority_weight / request_class.latency_objective,
        work=float(request_class.latency_objective),
        max_attempts=2 if is_idempotent else 1,
        is_zone_local=request_class.zone_local,
    )
