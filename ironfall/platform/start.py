"""What a director is told at its start: the environment, and the configuration file that it names."""

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ironfall.decisions.interface import ServiceSettings
from ironfall.platform_settings import read_service

Address = tuple[str, int]
CONFIG_MOST = 8 << 20  # bytes
LIST_LEAST, LIST_MOST = 1 << 20, 8 << 20  # bytes; a host takes some 200
LIST_PART = 16  # of memory; read, a list takes five times its bytes


class Senseless(Exception):
    """The director can't be started from it; the text names what is wrong."""


@dataclass(frozen=True)
class Assignment:
    """Where a director stands, whom it speaks with and by which terms."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    seed: int
    sockets: int  # descriptors that it may hold
    list_most: int  # bytes of a list, as far as memory holds what is made of it
    known: Any  # the list as this director last held it, in discovery's form
    service: ServiceSettings
    zones: tuple[str, ...]
    classes: tuple[str, ...]
    path: str  # of the configuration, to be read again


def address(text: Any, what: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Senseless(f"{what}: expected an address such as 127.0.0.1:7400, not {text!r}")
    return host, int(port)


def read_file(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            raw = file.read(CONFIG_MOST + 1)
        if len(raw) > CONFIG_MOST:
            raise Senseless(f"{path}: over {CONFIG_MOST} bytes")
        top = json.loads(raw)
    except OSError as wrong:
        raise Senseless(f"RELAY_CONFIG: {path}: {wrong.strerror}") from None
    except (ValueError, RecursionError) as wrong:
        raise Senseless(f"{path}: not JSON: {wrong}") from None
    if not isinstance(top, dict):
        raise Senseless(f"{path}: expected an object")
    return top


def reachable(top: dict[str, Any]) -> tuple[Address, Address]:
    """Discovery and the relay: what a new configuration may change while the director runs."""
    relay = top.get("relay")
    if not isinstance(relay, dict):
        raise Senseless("relay: expected an object with an address")
    return address(top.get("discovery"), "discovery"), address(
        relay.get("address"), "relay.address"
    )


def read(environment: Mapping[str, str] = os.environ) -> Assignment:
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise Senseless("RELAY_CONFIG: not set; it names the configuration file")
    top = read_file(path)
    name = environment.get("RELAY_NAME") or top.get("name")
    if not isinstance(name, str) or not name:
        raise Senseless("RELAY_NAME: not set, and name is not in the configuration")
    discovery, relay = reachable(top)
    listen = address(environment.get("RELAY_LISTEN") or top.get("listen"), "RELAY_LISTEN")
    limits, settings = top.get("limits", {}), top.get("settings")
    if not isinstance(settings, dict):
        raise Senseless("settings: expected an object")
    try:
        service = read_service(settings)
        zones = tuple(str(zone) for zone in settings["Dcs"])
        classes = tuple(str(c["Name"]) for c in settings["RequestClasses"])
    except (KeyError, TypeError, ValueError, AttributeError, NotImplementedError) as wrong:
        raise Senseless(f"settings: {type(wrong).__name__} {wrong}") from None
    if not zones or not classes or service.proxies <= 0:
        raise Senseless(
            "settings: Dcs, RequestClasses and FamilyInfo.ProxyCount must name something"
        )
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else 1024
    if not isinstance(sockets, int | float) or not math.isfinite(sockets) or sockets < 32:
        raise Senseless(f"limits.sockets: expected a number from 32 up, not {sockets!r}")
    memory = limits.get("memory_mb", 2048) if isinstance(limits, dict) else 2048
    if not isinstance(memory, int | float) or not math.isfinite(memory) or memory < 16:
        raise Senseless(f"limits.memory_mb: expected a number from 16 up, not {memory!r}")
    list_most = max(LIST_LEAST, min(LIST_MOST, int(memory * (1 << 20)) // LIST_PART))
    return Assignment(
        name,
        listen,
        discovery,
        relay,
        _seed(top.get("seed")),
        int(sockets),
        list_most,
        top.get("known"),
        service,
        zones,
        classes,
        path,
    )


def _seed(told: Any) -> int:
    # New with each start; where there is none, chance from the system does as well.
    try:
        return int(told, 16) if isinstance(told, str) else int(told)
    except (TypeError, ValueError, OverflowError):
        return int.from_bytes(os.urandom(8), "big")
