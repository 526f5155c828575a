"""What keepers agreed on, read back from their disks once they are dead, and held against what askers were told."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ironfall.consensus import Entry
from ironfall.coordinator.disk import MemberStore
from ironfall.coordinator.state_machine import LedgerStateMachine
from ironfall.lab.permits_judge import Judge
from ironfall.storage.disk import Folder


class Wrong(Exception):
    """What does not fit together."""


@dataclass(frozen=True)
class Applied:
    index: int
    asker: str
    number: int
    entry: dict[str, Any]
    answer: dict[str, Any]


def _read(name: str, folder: Path) -> list[Entry]:
    disk = Folder(folder)
    try:
        found, _ = MemberStore(disk, name).open()
    finally:
        disk.close()
    if found.snapshot:
        raise Wrong(f"{name} has a snapshot: what came before it can't be read back")
    return list(found.entries)


def agreed(disks: Mapping[str, Path]) -> list[Entry]:
    """As far as most of the disks are alike: nothing behind that was confirmed to anybody. `disks` are those of all
    keepers that vote, by name."""
    logs, log = [_read(name, folder) for name, folder in disks.items()], list[Entry]()
    while True:
        logs = [one for one in logs if len(one) > len(log)]
        best = max(
            logs,
            key=lambda one: sum(one[len(log)] == other[len(log)] for other in logs),
            default=[],
        )
        if sum(best[len(log)] == other[len(log)] for other in logs if best) <= len(disks) // 2:
            return log
        log.append(best[len(log)])


def applied(entries: Iterable[Entry]) -> list[Applied]:
    """What a ledger makes of them; what it answered a second time is left out."""
    answers: list[tuple[int, bytes]] = []
    machine, found = LedgerStateMachine(lambda index, answer: answers.append((index, answer))), []
    for index, entry in enumerate(entries, 1):
        if entry.kind != "ask":
            continue
        head, _, body = entry.data.partition(b"\n")
        machine.apply(index, entry.data)
        while answers:
            number, _, asker = head.decode().partition(" ")
            found.append(
                Applied(index, asker, int(number), json.loads(body), json.loads(answers.pop()[1]))
            )
    return found


Told = tuple[
    str, int, dict[str, Any], str, dict[str, Any]
]  # asker, number, entry, why not, the keepers' answer


def judge(history: list[Applied], told: Iterable[Told]) -> Judge:
    """Raises `Wrong`, or the ledger's judge's `Broken`. Once told for good is once in the log, word for word; what was
    refused or never told is there once or not at all."""
    known: dict[tuple[str, int], Applied] = {}
    granted: dict[tuple[str, str], int] = {}
    rules = Judge()
    for one in history:
        rules.see(one.index, one.entry, one.answer)
        if one.asker and known.setdefault((one.asker, one.number), one) is not one:
            raise Wrong(
                f"ask {one.number} of {one.asker} took effect at {known[one.asker, one.number].index} and "
                f"again at {one.index}"
            )
        if one.entry["k"] == "ask" and isinstance(one.answer.get("ok"), dict):
            name = one.answer["ok"]["ask"]
            if (
                "token" in one.answer["ok"]
                and granted.setdefault((name, "ask"), one.index) != one.index
            ):
                raise Wrong(
                    f"{name} was taken up at {granted[name, 'ask']} and again at {one.index}"
                )
    for asker, number, entry, why, answer in told:
        found = known.get((asker, number))
        if why in ("refused", "full") and found is not None:
            raise Wrong(f"ask {number} of {asker} was said to be {why}, and is at {found.index}")
        if why:
            continue
        if found is None or (found.index, found.answer) != (answer["index"], answer["answer"]):
            raise Wrong(
                f"ask {number} of {asker} ({entry['k']}) was told as {answer}, and is {found}"
            )
        if {k: v for k, v in found.entry.items() if k != "at"} != entry:
            raise Wrong(f"ask {number} of {asker} was {entry}, and is {found.entry}")
    return rules
