"""One record a host, director, holder, ask, permit and halt; each is its own part of a snapshot."""

from dataclasses import dataclass, field

# A permit is open as granted, draining, empty, out, returning, undoing or lost.
REVERSIBLE = ("granted", "draining", "empty")


@dataclass(slots=True)
class Host:
    zone: str
    kind: str
    tenants: list[str]
    strength: int
    classes: int  # a mask
    listed: bool = True
    ready: bool = False
    mark: int = 0  # the token under which the registry says so
    started: int = 0
    cold: bool = True
    agent: int = 0  # incarnation of the host, by its own agent
    heard: int = 0  # when the agent last spoke
    number: int = 0  # of the agent's words, in its incarnation
    up: bool = True
    acted: int = 0  # the newest token that the agent acted on
    quiet: int = 0  # how long nothing had come, when it last spoke
    silent: list[str] = field(default_factory=list)  # directors that say so
    stray: int = 0  # the token of an order to make it ready: a mark of ours outlived its permit


@dataclass(slots=True)
class Director:
    zone: str
    incarnation: int
    version: str = ""
    until: int = 0  # of its lease
    live: bool = True
    number: int = 0  # of its words, in its incarnation
    spoke: bool = False
    proxies: int = 0
    binding: int = 0
    waiting: int = 0
    bare: int = 0
    refused: int = 0  # of a million
    fulfilled: int = 0
    near: int = 0
    leaving: bool = False
    acted: int = 0
    drained: dict[str, int] = field(default_factory=dict)  # host: the token it was drained under
    silent: list[str] = field(default_factory=list)
    took: dict[str, list[int]] = field(
        default_factory=dict
    )  # of another's: its incarnation, how many proxies


@dataclass(slots=True)
class Zone:
    """What observers let be said of a zone's directors that are live behind them, all together."""

    changed: int = 0  # the index at which their set last changed: what is vouched of another set counts for nothing
    heard: int = 0  # when the one heard longest ago was heard
    confirms: dict[str, int] = field(
        default_factory=dict
    )  # host: the token under which all of them confirm
    unknown: int = 0  # since when none of its observers is heard; 0: one is


@dataclass(slots=True)
class Holder:
    incarnation: int
    until: int = 0
    live: bool = True
    asked: int = 0  # the highest number asked in this incarnation


@dataclass(slots=True)
class Ask:
    id: str
    holder: str
    incarnation: int
    units: list[str]
    length: int
    release: str
    since: int
    short: list[str] = field(default_factory=list)  # every scope that was ever too full for it


@dataclass(slots=True)
class Permit:
    ask: str
    holder: str
    incarnation: int
    length: int
    release: str
    granted: int  # the token of the grant: its order among permits
    token: int  # of the newest order
    state: str
    since: int
    cause: str = ""
    recalled: int = 0  # since when a halt calls it back
    before: int = 0  # incarnation of the unit when it was let out
    confirms: dict[str, None] = field(
        default_factory=dict
    )  # directors, by name, in the order of their words


@dataclass(slots=True)
class Halt:
    by: str
    reason: str
    since: int
    own: bool
    calm: int = 0  # since when its cause is gone; 0: it is not


@dataclass(slots=True)
class Past:
    """How often a scope was halted by itself."""

    times: int
    last: int
