"""The content of operators' files: hosts, pins, bounds, and leave to exceed limits. Pure.

The fields are written to JSON under their own names.
"""

from dataclasses import asdict, dataclass, field
from typing import Any

STATES = ("ready", "drain", "gone")


@dataclass
class FileHost:
    """A host of a file.

    Attributes:
        name: Of the host.
        address: Its address; if empty, the row modifies the registry's host of that name.
        zone: Its zone; required with an address.
        weight: Its weight; 0 for the registry's.
        state: One of `STATES`.
        warm: Whether it was in service long before a file first named it.
        keep: Classes that it must not serve.
        place: File, line and column.
    """

    name: str
    address: str = ""
    zone: str = ""
    weight: float = 0.0
    state: str = "ready"
    warm: bool = False
    keep: list[str] = field(default_factory=list)
    place: str = ""


@dataclass
class Pin:
    """A weight fixed by hand until a time, in seconds since 1970."""

    name: str
    weight: float
    owner: str
    reason: str
    until: float
    place: str = ""


@dataclass
class Bounds:
    """Limits of a learned weight."""

    name: str
    floor: float = 0.0
    cap: float = 1e6
    place: str = ""


@dataclass
class Leave:
    """Permission for one change to exceed the limits.

    Attributes:
        remove: The part of the ready capacity that the change may remove.
        cold: The part of the capacity that may be new cold hosts.
        owner: Who gave it.
        reason: Why.
        place: File, line and column.
    """

    remove: float = 0.0
    cold: float = 0.0
    owner: str = ""
    reason: str = ""
    place: str = ""


@dataclass
class ServerSet:
    """The content of all fragments; `by` is the author that the file names."""

    service: str = ""
    by: str = ""
    hosts: dict[str, FileHost] = field(default_factory=dict)
    pins: dict[str, Pin] = field(default_factory=dict)
    bounds: dict[str, Bounds] = field(default_factory=dict)
    leave: Leave | None = None

    def as_json(self) -> dict[str, Any]:
        """Returns the set as a JSON object, which `from_json` reads."""
        return asdict(self)

    @staticmethod
    def from_json(json_set: dict[str, Any]) -> "ServerSet":
        """Returns the set that `as_json` wrote.

        Raises:
            KeyError, TypeError: The object is not of that form.
        """
        return ServerSet(
            json_set["service"],
            json_set["by"],
            {name: FileHost(**host) for name, host in json_set["hosts"].items()},
            {name: Pin(**pin) for name, pin in json_set["pins"].items()},
            {name: Bounds(**bounds) for name, bounds in json_set["bounds"].items()},
            Leave(**json_set["leave"]) if json_set["leave"] else None,
        )
