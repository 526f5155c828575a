"""Keepers behind relays, and clients of theirs that take down what they were told, so that it can be judged."""

import random
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from ironfall.keeper.client import Heard, Keepers
from ironfall.lab import history
from ironfall.lab.between import Between, Fate, Faults, Message, offers

Addresses = Sequence[tuple[str, tuple[str, int]]]


class Asker(Keepers):
    def __init__(self, keepers: Addresses, name: str, chance: random.Random, told: list[history.Told]) -> None:
        super().__init__(keepers, name, chance)
        self.told = told

    def _ask(self, entry: dict[str, Any], until: float) -> Heard:
        number, asker = self.number + 1, self.asker
        heard = super()._ask(entry, until)
        self.told.append((asker, number, entry, heard.why, heard.told))
        return heard


class Holder:
    """One that asks for h1, h2 and so on, each under its own number."""

    def __init__(self, client: Keepers, name: str, incarnation: int, length: int) -> None:
        self.client, self.mine, self.length, self.asked = client, {"holder": name, "inc": incarnation}, length, 0

    def do(self, kind: str, seconds: float = 10.0, **about: Any) -> Heard:
        return self.client.ask({"k": kind, **self.mine, **about}, seconds)

    def ask(self) -> Heard:
        self.asked += 1
        return self.do("ask", n=self.asked, units=[f"host/h{self.asked}"], length=self.length)


class Relayed:
    def __init__(self, seed: int, tell: Callable[[Message, Fate], None] = lambda message, fate: None) -> None:
        self.faults, self.told = Faults(random.Random(seed), tell), list[history.Told]()
        self.between = Between(self.faults)
        self.ruled = self.faults.at(offers("rules"))  # from then on the ledger goes by the terms
        self.clients: list[Asker] = []

    def stop(self) -> None:
        for client in self.clients:
            client.close()
        self.between.stop()

    def client(self, name: str, keepers: Addresses, first: str = "") -> Asker:
        """`first`: the keeper that it turns to first, where it is not to be drawn."""
        ways = [(keeper, self.between.way(name, keeper, address)) for keeper, address in keepers]
        asker = Asker(ways, name, random.Random(1), self.told)
        if first:
            asker.leader = first
            asker.order.sort(key=lambda keeper: keeper != first)
        self.clients.append(asker)
        return asker

    def placed(self, kind: str) -> Callable[[], int]:
        """The index of the next entry of this kind, 0 until it is offered."""
        found: list[int] = []

        def take(message: Message) -> None:
            found.extend(i for said in message.said for i, _, own in said.entries if own.get("k") == kind)

        self.faults.at(offers(kind), act=take)
        return lambda: found[0] if found else 0

    def judge(self, disks: Mapping[str, Path]) -> list[history.Applied]:
        """Of dead keepers that vote. Raises what the judges raise."""
        found = history.applied(history.agreed(disks))
        history.judge(found, self.told)
        return found
