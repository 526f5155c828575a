"""Reads a director's environment and configuration file."""

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
# A host takes about 200 bytes of the list.
MIN_LIST_BYTES = 1 * BYTES_PER_MB
MAX_LIST_BYTES = 8 * BYTES_PER_MB
# The list's size is limited to the memory limit divided by this; decoded, it takes five times its
# size.
LIST_MEMORY_DIVISOR = 16
MAX_PORT = 65_535
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 32
DEFAULT_MEMORY_MB = 2048
MIN_MEMORY_MB = 16
SEED_BYTES = 8


class StartupError(IronfallError):
    """The configuration is invalid; the message names the setting and the fault."""


class Endpoints(NamedTuple):
    """The addresses that can be reconfigured while the director runs."""

    discovery: Address
    relay: Address


class NamedSettings(NamedTuple):
    """The operators' settings of the service, and the names of its zones and classes."""

    service: ServiceSettings
    zones: tuple[str, ...]
    classes: tuple[str, ...]


@dataclass(frozen=True)
class StartupConfig:
    """All settings of a director.

    Attributes:
        name: The director's name.
        listen: The address on which it listens for collectors.
        endpoints: The addresses of discovery and the relay.
        seed: Seed of the decision engine's random choices.
        max_sockets: Limit on its file descriptors.
        max_list_bytes: Limit on the size of a host list, derived from the memory limit.
        known_list: The host list that the director last knew, in discovery's format, if any.
        service: The operators' settings of the service.
        zones: Names of the zones.
        classes: Names of the request classes.
        path: Path of the configuration file, which is read again on reload.
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
        StartupError: A setting is missing or invalid.
    """
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise StartupError("RELAY_CONFIG: not set; expected the path of the configuration file")
    config = read_config_file(path)
    name = environment.get("RELAY_NAME") or config.get("name")
    if not isinstance(name, str) or not name:
        raise StartupError("RELAY_NAME: not set, and the configuration has no name")
    endpoints = read_endpoints(config)
    listen = _parse_address(environment.get("RELAY_LISTEN") or config.get("listen"), "RELAY_LISTEN")
    settings = _read_settings(config.get("settings"))
    limits = config.get("limits", {})
    max_sockets = int(_read_limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS))
    memory_mb = _read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)
    list_bytes = int(memory_mb * BYTES_PER_MB) // LIST_MEMORY_DIVISOR
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
        StartupError: The file can't be read, is too large, or is not a JSON object.
    """
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_CONFIG_BYTES + 1)
    except OSError as error:
        raise StartupError(f"RELAY_CONFIG: {path}: {error.strerror}") from None
    if len(raw) > MAX_CONFIG_BYTES:
        raise StartupError(f"{path}: larger than {MAX_CONFIG_BYTES} bytes")
    try:
        config = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise StartupError(f"{path}: not JSON: {error}") from None
    if not isinstance(config, dict):
        raise StartupError(f"{path}: expected a JSON object")
    return config


def read_endpoints(config: dict[str, Any]) -> Endpoints:
    """Reads the addresses of discovery and of the relay.

    Raises:
        StartupError: An address is missing or invalid.
    """
    relay = config.get("relay")
    if not isinstance(relay, dict):
        raise StartupError("relay: expected an object with the key address")
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
            "settings: Dcs and RequestClasses must not be empty; "
            "FamilyInfo.ProxyCount must be more than 0"
        )
    return NamedSettings(service, zones, classes)


def _read_limit(limits: Any, name: str, default: int, minimum: int) -> float:
    value = limits.get(name, default) if isinstance(limits, dict) else default
    if not isinstance(value, int | float) or not math.isfinite(value) or value < minimum:
        raise StartupError(f"limits.{name}: expected a number of at least {minimum}, not {value!r}")
    return value


def _parse_seed(seed: Any) -> int:
    """Returns the configured seed, or a random one if it is missing or invalid.

    The configuration has a new seed at each start, so a random one serves as well.
    """
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError, OverflowError):
        return int.from_bytes(os.urandom(SEED_BYTES), "big")
