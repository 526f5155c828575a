"""State shared by all parts of the engine: hosts, proxies, traffic classes and zone paths."""

from collections import defaultdict

from ironfall.decisions.interface import RequestClass, ServiceSettings
from ironfall.decisions.records import INITIAL_BACKOFF, Host, Proxy, TrafficClass, ZonePath

# How long a host stays excluded from one traffic class. It can be long because the host serves the
# other classes meanwhile.
CLASS_EXCLUSION_TIME = 4 * INITIAL_BACKOFF
# `Host.excluded_until` of a class that operators have excluded from a host.
EXCLUDED_BY_OPERATORS = 1 << 62

# A shard and a zone; the zone is 0 if no class is zone-local. Every proxy needs a serving host in
# its own location.
Location = tuple[int, int]
# The proxies that use each table; those with an unassigned class are listed under `UNASSIGNED`.
ProxiesByTable = dict[int, list[int]]


class FleetState:
    """The records of one director, and the numbering of its tables.

    Each shard has `tables_per_shard` tables: first one per zone, shared by the traffic classes,
    then one per class and zone, for classes that need tables of their own.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self.zones = settings.zones
        self.hosts: dict[bytes, Host] = {}
        self.proxies: dict[int, Proxy] = {}
        self.traffic_classes = [_traffic_class(settings, c) for c in settings.classes]
        self.zone_paths = [[ZonePath() for _ in range(self.zones)] for _ in range(self.zones)]
        self.has_zone_local_classes = any(c.zone_local for c in settings.classes)
        self.tables_per_shard = self.zones * (1 + len(self.traffic_classes))
        # Whether a withdrawal costs an entry for every proxy, or only for those whose tables
        # contain the host.
        self.notifies_all_proxies = settings.notifies_all_proxies
        self.shard_count = 1
        # Whether an endpoint list newer than the one cached before the start has arrived.
        self.has_fresh_list = False

    def serving_hosts(self) -> list[Host]:
        """Returns the hosts that are ready and not withdrawn."""
        return [h for h in self.hosts.values() if h.is_ready and not h.is_withdrawn]

    def serving_hosts_by_shard(self) -> list[list[Host]]:
        """Returns the serving hosts of each shard."""
        serving = self.serving_hosts()
        return [[h for h in serving if h.shard == shard] for shard in range(self.shard_count)]

    def location(self, record: Host | Proxy) -> Location:
        """Returns the location in which a host serves, or in which a proxy needs a host."""
        return record.shard, record.zone if self.has_zone_local_classes else 0

    def served_locations(self) -> set[Location]:
        """Returns the locations that have a serving host."""
        return {self.location(h) for h in self.serving_hosts()}

    def proxies_by_table(self) -> ProxiesByTable:
        """Returns the proxies that use each table."""
        proxies_by_table = defaultdict[int, list[int]](list)
        for number, proxy in self.proxies.items():
            for table in set(proxy.tables):
                proxies_by_table[table].append(number)
        return proxies_by_table

    def class_table_groups(self, now: int) -> list[int]:
        """Returns the group of tables that each traffic class uses; 0 for the shared tables."""
        groups = []
        for index, traffic_class in enumerate(self.traffic_classes):
            until = max((h.excluded_until[index] for h in self.hosts.values()), default=0)
            was_excluded_recently = 0 < until > now - CLASS_EXCLUSION_TIME
            has_own_tables = traffic_class.is_zone_local or was_excluded_recently
            groups.append(1 + index if has_own_tables else 0)
        return groups

    def table_number(self, shard: int, group: int, zone: int) -> int:
        """Returns the number of a table."""
        return shard * self.tables_per_shard + self.zones * group + zone


def _traffic_class(settings: ServiceSettings, request_class: RequestClass) -> TrafficClass:
    """Makes a class's record; a second attempt is allowed only if it can't take effect twice."""
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
