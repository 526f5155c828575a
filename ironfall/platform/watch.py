"""The list by a watch on the agent beside the director: each wait short, so that a silent agent is soon found out.

A watch is believed as far as it can be checked. From time to time the whole list is asked for, which costs nothing
where the agent is (a resync): what differs from what is held was a change that the watch did not tell. A version that
stays older than the one held, for longer than the agent may be behind, is the list set back for good.
"""

import json
import random
import time
from collections.abc import Callable
from typing import Any

import gevent

from ironfall.api.http import HttpClient
from ironfall.decisions.interface import ListedHost
from ironfall.platform.hosts import BadList, Hosts
from ironfall.platform.sockets import Backoff
from ironfall.platform.start import Address

WAIT = 1.0  # seconds that the agent may hold a call
SLACK = 0.7  # beyond that it is silent, or its answer comes slowly: then it has twice the time, up to `LATEST`
LIST_MOST = 8 << 20  # bytes
DIAL_TIME = 0.5
LATEST = 6.0  # seconds, agreed: whatever discovery has to tell counts as told by then
PAUSE = 0.05  # after an answer that came at once and told nothing; jittered, and under the 0.2 s that end a watch
SHORTEST = 0.01  # from one call to the next, whatever it told
AGAIN_FIRST, AGAIN_MOST = 0.03, 0.5  # between two failed calls, jittered


class Watch:
    def __init__(
        self,
        address: Address,
        hosts: Hosts,
        now: Callable[[], int],
        listed: Callable[..., None],
        chance: random.Random,
        log: Any,
        count: Callable[..., None],
        most: int = LIST_MOST,
    ) -> None:
        self.hosts, self.now, self.listed = hosts, now, listed
        self.chance, self.log, self.count, self.most = chance, log, count, most
        self.version = -1  # of the newest list that was told here
        self.whole = False  # whether the agent has told all of it
        self.asked_whole = 0.0  # when it was last asked for it, monotonic seconds
        self.slack = SLACK
        self.older_since: float | None = None  # that it has told older versions alone
        self.client = HttpClient(address, DIAL_TIME, self.most)

    def run(self) -> None:
        backoff, failing = Backoff(AGAIN_FIRST, AGAIN_MOST, self.chance), False
        while True:
            client = self.client
            try:
                self._ask(client)
                backoff.reset()
                failing = False
            except (OSError, BadList) as cause:
                if isinstance(cause, TimeoutError):
                    self.slack = min(LATEST, 2 * self.slack) if client.received else SLACK
                client.close()
                self.count("list failures")
                if not failing and client is self.client:
                    failing = True
                    self.log.info("list failed", cause=f"{type(cause).__name__}: {cause}")
                # Safe to ask again at any time: an answer names its version. No end to it, for without a list
                # there is no director.
                backoff.wait()

    def moved(self, address: Address) -> None:
        old, self.client = self.client, HttpClient(address, DIAL_TIME, self.most)
        self.whole, self.older_since, self.slack = False, None, SLACK
        old.end()

    def _ask(self, client: HttpClient) -> None:
        begun = time.monotonic()
        all_of_it = not self.whole or begun - self.asked_whole >= LATEST
        watch = "" if all_of_it else f"?index={self.version}&wait={WAIT * 1000:.0f}"
        answer = client.call("GET", "/v1/servers" + watch, WAIT + self.slack)
        if client is not self.client:
            client.close()  # it crossed a new configuration: the agent there is asked for all of it
            return
        if answer.status != 200:
            raise BadList(f"discovery answers {answer.status}")
        try:
            told = json.loads(answer.body)
        except (ValueError, RecursionError) as wrong:
            raise BadList(f"not JSON: {wrong}") from None
        version = told.get("revision") if isinstance(told, dict) else None
        if not isinstance(version, int) or version < 0:
            raise BadList("not a list: no revision")
        if all_of_it:
            self.asked_whole = begun
        news = self._take(told, version, begun)
        took = time.monotonic() - begun
        # An agent that answers without waiting, for ever, is asked no faster than this.
        spins = not news and not all_of_it and took < WAIT / 2
        gevent.sleep(PAUSE * (0.5 + self.chance.random()) if spins else max(0.0, SHORTEST - took))

    def _take(self, told: Any, version: int, now: float) -> bool:
        """Whether it told anything new."""
        if version < self.version:
            self.count("older lists")
            if self.older_since is None:
                self.older_since = now
            # What is older undoes nothing. The agent is asked for what is newer than the list held.
            self.whole = now - self.older_since < LATEST
            if self.whole or told.get("complete") is not True:
                return False
            self.log.warning("the list was set back", held=self.version, told=version)
        news, complete = version != self.version, told.get("complete") is True
        before = {name: held.listing for name, held in self.hosts.held.items()}
        passed_over = self.hosts.passed_over
        changes = self.listing(told)
        resync = self.whole and complete
        self.version, self.whole, self.older_since = version, True, None
        if self.hosts.passed_over != passed_over and not complete:
            self.asked_whole = 0.0  # what could not be read may be readable in the whole list
        if changes is None:
            return news
        if resync:
            if before == {name: held.listing for name, held in self.hosts.held.items()}:
                return news  # nothing differs: no reason for a turn of the tables
            if not news:
                self.count("changes found by resync")
        self.listed(*changes)
        return True

    def listing(self, told: Any) -> tuple[list[ListedHost], bool] | None:
        passed_over = self.hosts.passed_over
        whole, found = self.hosts.read(self.now(), time.time() * 1000, told)
        if self.hosts.passed_over != passed_over:
            self.count("entries passed over", self.hosts.passed_over - passed_over)
        return (found, whole) if found or whole else None
