"""What the ledger shows (`Ledger.inspect()`), as far as a release reads it."""

from dataclasses import dataclass
from typing import Any

from ironfall.rollout.judge import Word

MILLION = 1_000_000


@dataclass(frozen=True, slots=True)
class Seen:
    live: bool
    incarnation: int
    version: str
    zone: str
    word: Word


@dataclass(frozen=True, slots=True)
class Held:
    holder: str
    release: str
    state: str
    token: int
    since: int
    recalled: bool
    before: int


@dataclass(frozen=True, slots=True)
class View:
    """Times are the log's; `rooms` is by scope the most that may be out, and how many are out by themselves and in
    all."""

    now: int
    directors: dict[str, Seen]
    permits: dict[str, Held]  # of directors alone, by director
    asks: dict[str, tuple[list[str], int]]  # units, since when
    halts: dict[str, tuple[str, str, bool]]  # who, why, whether it lifts itself
    rooms: dict[str, tuple[int, int, int]]


def view_of(look: dict[str, Any], pace: int) -> View:
    """`pace`: lines a second of one channel."""
    directors = {}
    for name, (
        live,
        inc,
        version,
        proxies,
        waiting,
        bare,
        refused,
        fulfilled,
        zone,
        number,
    ) in look["directors"].items():
        shares = refused / MILLION, 1 - fulfilled / MILLION, min(1.0, bare / max(1, proxies))
        figures = (*shares, min(5.0, waiting / pace))
        directors[name] = Seen(live, inc, version, zone, Word(zone, inc, number, proxies, figures))
    permits = {
        unit[9:]: Held(
            p["holder"],
            p["release"],
            p["state"],
            p["token"],
            p["since"],
            p["recalled"] > 0,
            p["before"],
        )
        for unit, p in look["permits"].items()
        if unit.startswith("director/")
    }
    return View(
        look["now"],
        directors,
        permits,
        {n: (a["units"], a["since"]) for n, a in look["asks"].items()},
        {scope: (h["by"], h["reason"], h["own"]) for scope, h in look["halts"].items()},
        {
            scope: (limit, unplanned, out)
            for scope, (_, out, unplanned, limit) in look["scopes"].items()
            if scope.startswith("directors")
        },
    )
