"""Reads a director's environment and the configuration file that it names."""

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from ironfall.decisions.interface import ServiceSettings
from ironfall.errors import IronfallError
from ironfall.platform.sockets import Address
from ironfall.platform_settings import read_service

BYTES_PER_MB = 1 << 20
MAX_CONFIG_BYTES = 8 * BYTES_PER_MB
# A host takes some 200 bytes of the list.
MIN_LIST_BYTES = 1 * BYTES_PER_MB
MAX_LIST_BYTES = 8 * BYTES_PER_MB
# The list's part of memory; decoded, it takes five times its bytes.
LIST_MEMORY_PART = 16
MAX_PORT = 65_535
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 32
DEFAULT_MEMORY_MB = 2048
MIN_MEMORY_MB = 16
SEED_BYTES = 8


class StartupError(IronfallError):
    """The director can't start with this configuration; the text names the fault."""


class Endpoints(NamedTuple):
    """The addresses that a new configuration may change while the director runs."""

    discovery: Address
    relay: Address


class NamedSettings(NamedTuple):
    """The operators' settings, and the names that they hold as numbers."""

    service: ServiceSettings
    zones: tuple[str, ...]
    classes: tuple[str, ...]


@dataclass(frozen=True)
class StartupConfig:
    """All settings of a director.

    Attributes:
        name: The director's name.
        listen: Where collectors reach it.
        endpoints: Where it reaches discovery and the relay.
        seed: Of the decisions' random choices.
        max_sockets: File descriptors that it may hold.
        max_list_bytes: The longest host list that memory has room for.
        known_list: The list as this director last knew it, in discovery's form, if any.
        service: The operators' settings of the service.
        zones: Names of the zones.
        classes: Names of the request classes.
        path: The configuration file, to be read again.
    """

    name: str
    listen: Address
    endpoints: Endpoints
    seed: int
    max_sockets: int
    max_list_bytes: int
    known_list: Any
    service: ServiceSettings
    zones: tuple[str, ...]
    classes: tuple[str, ...]
    path: str


def read_startup_config(environment: Mapping[str, str] = os.environ) -> StartupConfig:
    """Reads the environment and the configuration file.

    Raises:
        StartupError: Something is missing or makes no sense.
    """
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise StartupError("RELAY_CONFIG: not set; it names the configuration file")
    config = read_config_file(path)
    name = environment.get("RELAY_NAME") or config.get("name")
    if not isinstance(name, str) or not name:
        raise StartupError("RELAY_NAME: not set, and name is not in the configuration")
    endpoints = read_endpoints(config)
    listen = _parse_address(environment.get("RELAY_LISTEN") or config.get("listen"), "RELAY_LISTEN")
    settings = _read_settings(config.get("settings"))
    limits = config.get("limits", {})
    max_sockets = int(_read_limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS))
    memory_mb = _read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)
    list_bytes = int(memory_mb * BYTES_PER_MB) // LIST_MEMORY_PART
    return StartupConfig(
        name=name,
        listen=listen,
        endpoints=endpoints,
        seed=_parse_seed(config.get("seed")),
        max_sockets=max_sockets,
        max_list_bytes=max(MIN_LIST_BYTES, min(MAX_LIST_BYTES, list_bytes)),
        known_list=config.get("known"),
        service=settings.service,
        zones=settings.zones,
        classes=settings.classes,
        path=path,
    )


def read_config_file(path: str) -> dict[str, Any]:
    """Reads the configuration file, which holds one JSON object.

    Raises:
        StartupError: It can't be read.
    """
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_CONFIG_BYTES + 1)
    except OSError as error:
        raise StartupError(f"RELAY_CONFIG: {path}: {error.strerror}") from None
    if len(raw) > MAX_CONFIG_BYTES:
        raise StartupError(f"{path}: over {MAX_CONFIG_BYTES} bytes")
    try:
        config = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise StartupError(f"{path}: not JSON: {error}") from None
    if not isinstance(config, dict):
        raise StartupError(f"{path}: expected an object")
    return config


def read_endpoints(config: dict[str, Any]) -> Endpoints:
    """Reads the addresses of discovery and of the relay.

    Raises:
        StartupError: One is missing or is no address.
    """
    relay = config.get("relay")
    if not isinstance(relay, dict):
        raise StartupError("relay: expected an object with an address")
    return Endpoints(
        discovery=_parse_address(config.get("discovery"), "discovery"),
        relay=_parse_address(relay.get("address"), "relay.address"),
    )


def _parse_address(text: Any, name: str) -> Address:
    host, port = "", ""
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise StartupError(f"{name}: expected an address such as 127.0.0.1:7400, not {text!r}")
    return host, int(port)


def _read_settings(settings: Any) -> NamedSettings:
    if not isinstance(settings, dict):
        raise StartupError("settings: expected an object")
    try:
        service = read_service(settings)
        zones = tuple(str(zone) for zone in settings["Dcs"])
        classes = tuple(str(entry["Name"]) for entry in settings["RequestClasses"])
    except (KeyError, TypeError, ValueError, AttributeError, NotImplementedError) as error:
        raise StartupError(f"settings: {type(error).__name__} {error}") from None
    if not zones or not classes or service.proxies <= 0:
        raise StartupError(
            "settings: Dcs, RequestClasses and FamilyInfo.ProxyCount must name something"
        )
    return NamedSettings(service, zones, classes)


def _read_limit(limits: Any, name: str, default: int, minimum: int) -> float:
    value = limits.get(name, default) if isinstance(limits, dict) else default
    if not isinstance(value, int | float) or not math.isfinite(value) or value < minimum:
        raise StartupError(f"limits.{name}: expected a number from {minimum} up, not {value!r}")
    return value


def _parse_seed(seed: Any) -> int:
    """The seed, which is new at each start; without one, the system's randomness does as well."""
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError, OverflowError):
        return int.from_bytes(os.urandom(SEED_BYTES), "big")
