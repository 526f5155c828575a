"""The tables of a proxy between its start and its first assignment by a director."""

import json
import random
from dataclasses import dataclass

import gevent

from ironfall.api.http import HttpClient
from ironfall.publication import MILLION
from ironfall.publication.holding import CachedState
from ironfall.terms import Terms

# Attempts to fetch the list of hosts, without and with cached tables.
MAX_LIST_ATTEMPTS = 30
MAX_LIST_ATTEMPTS_WITH_CACHE = 2
LIST_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
BACKOFF_FACTOR = 1.5
# With fewer ready hosts in its own zone, a proxy starts with hosts of all zones.
MIN_LOCAL_HOSTS = 3


@dataclass(frozen=True, slots=True)
class InitialTables:
    """Makes the first tables of a proxy from the service's list of hosts.

    Attributes:
        settings: The settings of the service.
        name: The name of the proxy.
        zone: Its zone.
        random_source: For jitter and the sample of hosts.
    """

    settings: Terms
    name: str
    zone: str
    random_source: random.Random

    def sample_hosts(self) -> dict[str, int]:
        """Returns a few ready hosts with equal weights, from the proxy's own zone if possible.

        Raises:
            ConnectionError: The list can't be fetched.
        """
        zones = self._fetch_ready_hosts(MAX_LIST_ATTEMPTS)
        if not zones:
            raise ConnectionError(
                f"could not fetch the list of hosts in {MAX_LIST_ATTEMPTS} attempts, "
                "and there are no cached tables to start with"
            )
        hosts = [host for host, zone in zones.items() if zone == self.zone]
        if len(hosts) < MIN_LOCAL_HOSTS:
            hosts = list(zones)
        count = min(len(hosts), self.settings.proxy.standing)
        return dict.fromkeys(self.random_source.sample(hosts, count), MILLION)

    def withdraw_departed_hosts(self, states: list[CachedState]) -> None:
        """Withdraws the cached hosts that are no longer ready, unless a class would have none.

        Without an answer to a few requests for the list, the cached tables stay as they are.
        """
        ready = self._fetch_ready_hosts(MAX_LIST_ATTEMPTS_WITH_CACHE)
        if not ready:
            return
        departed = {host for state in states for host in state.table} - set(ready)
        for state in states:
            if state.table.keys() - state.outs - departed:
                state.outs |= departed

    def _fetch_ready_hosts(self, max_attempts: int) -> dict[str, str]:
        """Returns the zones of the ready hosts; empty if the list can't be fetched."""
        client = HttpClient(self.settings.registry)
        for attempt in range(max_attempts):
            try:
                zones = self._fetch_list(client)
            except (OSError, ValueError, KeyError, TypeError):
                zones = {}
            if zones:
                return zones
            if attempt + 1 < max_attempts:
                backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * BACKOFF_FACTOR**attempt)
                gevent.sleep(backoff_s * (0.5 + self.random_source.random()))
        return {}

    def _fetch_list(self, client: HttpClient) -> dict[str, str]:
        path = f"/v1/list?after=-1&wait_ms=0&who={self.name}"
        response = client.call("GET", path, LIST_TIMEOUT_S)
        rows = json.loads(response.body)["hosts"]
        return {
            f"{row['name']}@{row['address']}": row["zone"]
            for row in rows
            if row["state"] == "ready"
        }
