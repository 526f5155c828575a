"""What is common to both hops: words read and compared, and times that a stamp proves."""

from typing import Any

from ironfall.disruption.entry_codec import EntryRejectedError, JsonFields, read_status_report
from ironfall.disruption.settings import MILLION, SECOND

BEATS = 1_024  # of one message
PART = 1_024  # differences of one report
LATE = 3 * SECOND  # not heard for so long, a member's age goes by itself
SPEND = "proxies", "binding", "waiting"  # what the channel is counted by: told as a roof
Word = dict[str, Any]
_HOST = {"up", "token"}


def proven(now: int, given: int, since: int, age: int, drift: int) -> int:
    """The newest time, by the clock that gave the stamp `given`, at which what is `age` old must have been said, where
    `since` passed since the stamp came. `drift` of the two clocks, of a million. Never later than `now`."""
    lead = since - age
    return min(now, given + lead - abs(lead) * drift // MILLION)


def read_word(unit: str, held: Any, where: str) -> Word:
    """A director's or a host's word, whole. Raises `ValueError` with the place."""
    if (
        type(held) is dict
        and held.keys() == _HOST
        and type(held["up"]) is bool
        and unit.startswith("host/")
    ):
        if type(held["token"]) is int and 0 <= held["token"] < 1 << 53:
            return held  # most words, and of these most are just so
    try:
        if unit.startswith("director/"):
            if not isinstance(held, dict):
                raise EntryRejectedError(f"{where} must be an object")
            version = JsonFields(
                {k: v for k, v in held.items() if k == "version"}, where, "version"
            ).name("version", "")
            word = read_status_report(
                {"inc": 0, "n": 0} | {k: v for k, v in held.items() if k != "version"}, where
            )
            return {k: v for k, v in word.items() if k not in ("inc", "n")} | {"version": version}
        f = JsonFields(held, where, "up token")
        return {"up": f.yes("up"), "token": f.whole("token", 0)}
    except EntryRejectedError as wrong:
        raise ValueError(str(wrong)) from None


def unit_of(unit: str) -> str:
    kind, _, name = unit.partition("/")
    if kind not in ("host", "director") or not 0 < len(name) <= 256:
        raise ValueError(f"{unit[:64]} is neither host/NAME nor director/NAME")
    return unit


def roof(figure: int) -> int:
    """What the log has in place of a figure that moves all the time: never less, and an eighth more at most, or one."""
    return figure + -(-figure // 8)


def under(figure: int, told: int) -> bool:
    """Whether what was told still stands for the figure."""
    return figure <= told and (told <= 1 or 2 * figure >= told)


def matters(told: Word, word: Word, near: int) -> bool:
    """Whether the log must have a director's word, where `told` is what it has."""
    return (
        any(told[x] != word[x] for x in ("leaving", "token", "took"))
        or set(told["silent"]) != set(word["silent"])
        or (told["near"] >= near) != (word["near"] >= near)
        or not all(under(word[x], told[x]) for x in SPEND)
    )


def worse(unit: str, one: Word, other: Word) -> Word:
    """Of two words said to be the same: doubt field by field."""
    if unit.startswith("host/"):
        return {"up": one["up"] and other["up"], "token": min(one["token"], other["token"])}
    most = {x: max(one[x], other[x]) for x in (*SPEND, "bare", "refused", "near")}
    drained = {h: t for h, t in one["drained"].items() if other["drained"].get(h) == t}
    # Proxies seen elsewhere count against those unaccounted for: fewer, and only of one incarnation.
    took = {
        d: [p[0], min(p[1], other["took"][d][1])]
        for d, p in one["took"].items()
        if d in other["took"] and other["took"][d][0] == p[0]
    }
    return (
        one
        | most
        | {
            "drained": drained,
            "took": took,
            "silent": sorted({*one["silent"], *other["silent"]}),
            "leaving": one["leaving"] and other["leaving"],
            "token": min(one["token"], other["token"]),
            "fulfilled": min(one["fulfilled"], other["fulfilled"]),
        }
    )
