"""The list by a watch on the agent beside the director: each wait short, so that a silent agent is soon found out."""

import json
import random
import time
from collections.abc import Callable
from typing import Any

from ironfall.api.http import HttpClient
from ironfall.interface import Listing
from ironfall.platform.hosts import BadList, Hosts
from ironfall.platform.sockets import Pauses
from ironfall.platform.start import Address

WAIT = 1.0  # seconds that the agent may hold a call
SLACK = 0.7  # beyond that it is silent
LIST_MOST = 8 << 20  # bytes
DIAL_TIME = 0.5
AGAIN_FIRST, AGAIN_MOST = 0.03, 0.5  # between two failed calls, jittered


class Watch:
    def __init__(self, address: Address, hosts: Hosts, now: Callable[[], int], listed: Callable[..., None],
                 chance: random.Random, log: Any, count: Callable[..., None]) -> None:  # fmt: skip
        self.hosts, self.now, self.listed = hosts, now, listed
        self.chance, self.log, self.count = chance, log, count
        self.version = -1  # of the newest list that was told here
        self.whole = False  # whether the agent has been asked for all of it
        self.client = HttpClient(address, DIAL_TIME, LIST_MOST)

    def run(self) -> None:
        pauses, failing = Pauses(AGAIN_FIRST, AGAIN_MOST, self.chance), False
        while True:
            client = self.client
            try:
                self._ask(client)
                pauses.over()
                failing = False
            except (OSError, BadList) as cause:
                client.close()
                self.count("list failures")
                if not failing and client is self.client:
                    failing = True
                    self.log.info("list failed", cause=f"{type(cause).__name__}: {cause}")
                # Safe to ask again at any time: an answer names its version. No end to it, for without a list
                # there is no director.
                pauses.take()

    def moved(self, address: Address) -> None:
        old, self.client = self.client, HttpClient(address, DIAL_TIME, LIST_MOST)
        self.whole = False
        old.close()

    def _ask(self, client: HttpClient) -> None:
        watch = f"?index={self.version}&wait={WAIT * 1000:.0f}" if self.whole else ""
        answer = client.call("GET", "/v1/servers" + watch, WAIT + SLACK)
        if answer.status != 200:
            raise BadList(f"discovery answers {answer.status}")
        try:
            told = json.loads(answer.body)
        except (ValueError, RecursionError) as wrong:
            raise BadList(f"not JSON: {wrong}") from None
        version = told.get("revision") if isinstance(told, dict) else None
        if not isinstance(version, int) or version < 0:
            raise BadList("not a list: no revision")
        if version < self.version:
            self.count("older lists")
            # What is older undoes nothing. The agent is asked for what is newer than the list held.
            self.whole = True
            return
        changes = self.listing(told)
        self.version, self.whole = version, True
        if changes is not None:
            self.listed(*changes)

    def listing(self, told: Any) -> tuple[list[Listing], bool] | None:
        passed_over = self.hosts.passed_over
        whole, found = self.hosts.read(self.now(), time.time() * 1000, told)
        if self.hosts.passed_over != passed_over:
            self.count("entries passed over", self.hosts.passed_over - passed_over)
        return (found, whole) if found or whole else None
