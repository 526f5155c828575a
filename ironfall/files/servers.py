"""What operators' files say: hosts, pins, bounds, and one change's leave to go beyond what is usually allowed. Pure."""

from dataclasses import asdict, dataclass, field
from typing import Any

STATES = ("ready", "drain", "gone")


@dataclass
class FileHost:
    """A host as a file has it. Without an address it speaks of the registry's host of that name."""

    name: str
    address: str = ""
    zone: str = ""
    weight: float = 0.0  # 0: the registry's
    state: str = "ready"
    warm: bool = False  # it ran long before it was first named here
    keep: list[str] = field(default_factory=list)  # classes that are kept off it
    place: str = ""


@dataclass
class Pin:
    """A weight fixed by hand for a time; `until` is in seconds since 1970."""

    name: str
    weight: float
    owner: str
    reason: str
    until: float
    place: str = ""


@dataclass
class Bounds:
    """What a learnt weight is held between."""

    name: str
    floor: float = 0.0
    cap: float = 1e6
    place: str = ""


@dataclass
class Leave:
    """Leave for the one change that brings it: to remove that part of the capacity, to add that part cold."""

    remove: float = 0.0
    cold: float = 0.0
    owner: str = ""
    reason: str = ""
    place: str = ""


@dataclass
class ServerSet:
    service: str = ""
    by: str = ""  # who says so, as the file has it
    hosts: dict[str, FileHost] = field(default_factory=dict)
    pins: dict[str, Pin] = field(default_factory=dict)
    bounds: dict[str, Bounds] = field(default_factory=dict)
    leave: Leave | None = None

    def as_json(self) -> dict[str, Any]:
        return asdict(self)

    @staticmethod
    def from_json(told: dict[str, Any]) -> "ServerSet":
        """What `as_json` gave; raises KeyError or TypeError for anything else."""
        return ServerSet(
            told["service"],
            told["by"],
            {n: FileHost(**h) for n, h in told["hosts"].items()},
            {n: Pin(**p) for n, p in told["pins"].items()},
            {n: Bounds(**b) for n, b in told["bounds"].items()},
            Leave(**told["leave"]) if told["leave"] else None,
        )
