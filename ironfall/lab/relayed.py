"""Keepers behind relays, and clients of theirs that take down what they were told, so that it can be judged."""

import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from ironfall.coordinator.client import CoordinatorAnswer, CoordinatorClient
from ironfall.lab import history
from ironfall.lab.between import Between, Fate, Faults, Message, offers

SECOND = 10_000
Addresses = Sequence[tuple[str, tuple[str, int]]]


class Asker(CoordinatorClient):
    def __init__(
        self, keepers: Addresses, name: str, chance: random.Random, told: list[history.Told]
    ) -> None:
        super().__init__(keepers, name, chance)
        self.told = told

    def _propose(self, entry: dict[str, Any], until: float) -> CoordinatorAnswer:
        number, asker = self.last_number + 1, self.session_name
        heard = super()._propose(entry, until)
        self.told.append((asker, number, entry, heard.failure, heard.body))
        return heard


class Holder:
    """One that asks for h1, h2 and so on, each under its own number."""

    def __init__(self, client: CoordinatorClient, name: str, incarnation: int, length: int) -> None:
        self.client, self.mine, self.length, self.asked = (
            client,
            {"holder": name, "inc": incarnation},
            length,
            0,
        )

    def do(self, kind: str, seconds: float = 10.0, **about: Any) -> CoordinatorAnswer:
        return self.client.propose({"k": kind, **self.mine, **about}, seconds)

    def ask(self) -> CoordinatorAnswer:
        self.asked += 1
        return self.do("ask", n=self.asked, units=[f"host/h{self.asked}"], length=self.length)


class Relayed:
    """`folder`: where each keeper's own folder is, under its name."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        tell: Callable[[Message, Fate], None] = lambda message, fate: None,
    ) -> None:
        self.folder, self.told = folder, list[history.Told]()
        self.faults = Faults(random.Random(seed), tell)
        self.between = Between(self.faults)
        self.ruled = self.faults.at(offers("rules"))  # from then on the ledger goes by the terms
        self.clients: list[Asker] = []

    def stop(self) -> None:
        for client in self.clients:
            client.close()
        self.between.stop()

    def copy(self, who: str, text: str, keepers: Addresses) -> Path:
        """Its own file of the terms."""
        file = self.folder / f"{who}.sexp"
        file.write_text(self.between.copy(text, who, keepers))
        return file

    def client(self, name: str, keepers: Addresses, first: str = "") -> Asker:
        """`first`: the keeper that it turns to first, where it is not to be drawn."""
        ways = [(keeper, self.between.way(name, keeper, address)) for keeper, address in keepers]
        asker = Asker(ways, name, random.Random(1), self.told)
        if first:
            asker.leader = first
            asker.order.sort(key=lambda keeper: keeper != first)
        self.clients.append(asker)
        return asker

    def holder(self, keepers: Addresses, hosts: dict[str, Any], seconds: float = 10.0) -> Holder:
        """With a lease, once rules and list are agreed. Raises `RuntimeError` where they are not in time."""
        holder = Holder(self.client("holder", keepers), "s", 1, 60 * SECOND)
        if self.ruled.wait(seconds):
            listed = self.client("registry", keepers).propose(
                {"k": "list", "v": 1, "hosts": hosts}, seconds
            )
            if listed.is_accepted and holder.do("hold", seconds).is_accepted:
                return holder
        raise RuntimeError("no list, rules or lease were agreed in time")

    def placed(self, kind: str) -> Callable[[], int]:
        """The index of the next entry of this kind, 0 until it is offered."""
        found: list[int] = []

        def take(message: Message) -> None:
            found.extend(
                i for said in message.said for i, _, own in said.entries if own.get("k") == kind
            )

        self.faults.at(offers(kind), act=take)
        return lambda: found[0] if found else 0

    def granted(self, voters: Sequence[str]) -> list[str]:
        """What was granted, in order, by the disks of keepers that vote and are dead. Raises what the judges raise."""
        found = history.applied(history.agreed({name: self.folder / name for name in voters}))
        history.judge(found, self.told)
        return [
            unit
            for one in found
            for unit, state, *_ in one.answer.get("moved", ())
            if state == "granted"
        ]
