"""Entries of the log, decoded from JSON into the ledger's methods; what is malformed is refused by place and cause."""

import json
from typing import TYPE_CHECKING, Any

from ironfall.disruption.room import CLASSES
from ironfall.disruption.settings import MILLION, rules_from_facts

if TYPE_CHECKING:
    from ironfall.disruption.ledger import Ledger

MOST = 8 * 2**20  # bytes of an entry
MANY = 16_384  # items of a list in one, and as many as hosts may be kept
WHOLE = 1 << 53


class EntryRejectedError(Exception):
    """An entry that is not applied; the text says why."""


class JsonFields:
    """One JSON object, read by name; `where` is its place in the entry."""

    def __init__(self, held: Any, where: str, known: str, many: int = MANY) -> None:
        if not isinstance(held, dict):
            raise EntryRejectedError(f"{where or 'an entry'} must be an object")
        self.held, self.where, self.many = held, where + "." if where else "", many
        if unknown := sorted(set(held) - set(known.split())):
            raise EntryRejectedError(f"unknown field {self.where}{unknown[0][:64]}")

    def get(self, name: str, usual: Any = None) -> Any:
        if name in self.held:
            return self.held[name]
        if usual is None:
            raise EntryRejectedError(f"{self.where}{name} is missing")
        return usual

    def whole(self, name: str, usual: int | None = None, most: int = WHOLE) -> int:
        return whole(self.get(name, usual), self.where + name, most)

    def name(self, name: str, usual: str | None = None) -> str:
        value = self.get(name, usual)
        return "" if value == "" and usual == "" else text(value, self.where + name)

    def yes(self, name: str, usual: bool | None = None) -> bool:
        value = self.get(name, usual)
        if not isinstance(value, bool):
            raise EntryRejectedError(f"{self.where}{name} must be true or false")
        return value

    def names(self, name: str, usual: list[str] | None = None) -> list[str]:
        value = self.get(name, usual)
        if not isinstance(value, list) or len(value) > self.many:
            raise EntryRejectedError(
                f"{self.where}{name} must be a list of at most {self.many} names"
            )
        found = [text(v, self.where + name) for v in value]
        if len(set(found)) < len(found):
            raise EntryRejectedError(f"{self.where}{name} names one twice")
        return found

    def table(self, name: str, usual: dict[str, Any] | None = None) -> dict[str, Any]:
        value = self.get(name, usual)
        if not isinstance(value, dict) or len(value) > self.many:
            raise EntryRejectedError(
                f"{self.where}{name} must be an object of at most {self.many} names"
            )
        for key in value:
            text(key, self.where + name)
        return value


def whole(value: Any, where: str, most: int = WHOLE) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise EntryRejectedError(f"{where} must be a whole number from 0 to {most}")
    return value


def text(value: Any, where: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= 256:
        raise EntryRejectedError(f"{where} must be a text of 1 to 256 characters")
    return value


def decode(entry: bytes, ledger: "Ledger") -> Any:
    """Calls what the entry asks for and gives its answer; raises `Refused`."""
    if len(entry) > MOST:
        raise EntryRejectedError(f"an entry has at most {MOST} bytes")
    try:
        held = json.loads(entry)
    except (ValueError, RecursionError):
        raise EntryRejectedError("an entry must be JSON") from None
    kind = held.get("k") if isinstance(held, dict) else None
    if not isinstance(kind, str) or kind not in KINDS:
        raise EntryRejectedError(f"unknown kind of entry; expected one of: {', '.join(KINDS)}")
    read, known = KINDS[kind]
    fields = JsonFields(held, "", f"k at {known}", max(MANY, ledger.rules.hosts))
    at = fields.whole("at")
    act = read(fields, ledger)
    ledger.at(at)
    return act()


def _rules(f: JsonFields, ledger: "Ledger") -> Any:
    try:
        rules = rules_from_facts(f.table("rules"))
    except ValueError as wrong:
        raise EntryRejectedError(str(wrong)) from None
    return lambda: ledger.agree(rules)


def _load(f: JsonFields, ledger: "Ledger") -> Any:
    kind, hours = f.whole("class", most=CLASSES - 1), f.get("hours")
    if not isinstance(hours, list) or len(hours) != 24:
        raise EntryRejectedError("hours must be 24 loads")
    loads = [whole(h, "hours") for h in hours]
    return lambda: ledger.load(kind, loads)


def _list(f: JsonFields, ledger: "Ledger") -> Any:
    version, gone = f.whole("v"), f.names("gone", [])
    hosts: dict[str, dict[str, Any]] = {}
    for name, one in f.table("hosts", {}).items():
        h = JsonFields(
            one, f"hosts.{name}", "zone kind tenants strength classes ready token started", f.many
        )
        hosts[name] = {
            "zone": h.name("zone"),
            "kind": h.name("kind"),
            "tenants": h.names("tenants", []),
            "strength": h.whole("strength"),
            "classes": h.whole("classes", most=(1 << CLASSES) - 1),
            "ready": h.yes("ready"),
            "token": h.whole("token", 0),
            "started": h.whole("started", 0),
        }
        if len(hosts[name]["tenants"]) > 64:
            raise EntryRejectedError(f"hosts.{name} has more than 64 tenants")
    return lambda: ledger.list_hosts(version, hosts, gone)


def _join(f: JsonFields, ledger: "Ledger") -> Any:
    name, inc, zone, version = (
        f.name("director"),
        f.whole("inc"),
        f.name("zone"),
        f.name("version", ""),
    )
    return lambda: ledger.join(name, inc, zone, version)


def _hold(f: JsonFields, ledger: "Ledger") -> Any:
    name, inc = f.name("holder"), f.whole("inc")
    return lambda: ledger.hold(name, inc)


def _lapse(f: JsonFields, ledger: "Ledger") -> Any:
    role, name, inc = f.name("role"), f.name("name"), f.whole("inc")
    if role not in ("holder", "director"):
        raise EntryRejectedError("role must be holder or director")
    return lambda: ledger.lapse(role, name, inc)


def read_status_report(one: Any, where: str, many: int = MANY) -> dict[str, Any]:
    """What a director stands for; raises `Refused` with the place. `many`: names of a list in it, at most."""
    w = JsonFields(
        one,
        where,
        "inc n proxies binding waiting bare refused fulfilled near leaving token drained silent "
        "took",
        many,
    )
    drained = {host: whole(t, w.where + "drained") for host, t in w.table("drained", {}).items()}
    took = {}
    for other, pair in w.table("took", {}).items():
        if not isinstance(pair, list) or len(pair) != 2:
            raise EntryRejectedError(
                f"{w.where}took must name an incarnation and a number of proxies"
            )
        took[other] = [whole(n, w.where + "took") for n in pair]
    said = {
        "inc": w.whole("inc"),
        "n": w.whole("n"),
        "drained": drained,
        "took": took,
        "silent": w.names("silent", []),
        "leaving": w.yes("leaving", False),
        "near": w.whole("near", 0, 100 * MILLION),
        "token": w.whole("token", 0),
    } | {x: w.whole(x, 0) for x in ("proxies", "binding", "waiting", "bare")}
    return said | {x: w.whole(x, 0, MILLION) for x in ("refused", "fulfilled")}


def _words(f: JsonFields, ledger: "Ledger") -> Any:
    said = {
        name: read_status_report(one, f"directors.{name}", f.many)
        for name, one in f.table("directors").items()
    }
    return lambda: ledger.words(said)


def _agents(f: JsonFields, ledger: "Ledger") -> Any:
    said = {}
    for name, one in f.table("hosts").items():
        w = JsonFields(one, f"hosts.{name}", "inc n up quiet token", f.many)
        said[name] = {
            "inc": w.whole("inc"),
            "n": w.whole("n"),
            "up": w.yes("up"),
            "quiet": w.whole("quiet", 0),
            "token": w.whole("token", 0),
        }
    return lambda: ledger.agents(said)


def _row(held: Any, where: str, kinds: str) -> list[Any]:
    """A list of just these: `w` a whole number, `n` a name, `v` a text that may be empty, `y` true or false."""
    if not isinstance(held, list) or len(held) != len(kinds):
        raise EntryRejectedError(f"{where} must be a list of {len(kinds)}")
    for value, kind in zip(held, kinds, strict=True):
        if kind == "w":
            whole(value, where)
        elif kind == "y" and not isinstance(value, bool):
            raise EntryRejectedError(f"{where} must have true or false in its place")
        elif kind == "n" or kind == "v" and value != "":
            text(value, where)
    return held


def _digest(f: JsonFields, ledger: "Ledger") -> Any:
    made = f.whole("made")
    zones = f.table("zones", {})
    for zone, unknown in zones.items():
        _row([unknown], f"zones.{zone}", "y")
    came = {name: _row(one, f"came.{name}", "wnv") for name, one in f.table("came", {}).items()}
    directors = {
        name: read_status_report(one, f"directors.{name}", f.many)
        for name, one in f.table("directors", {}).items()
    }
    hosts = {
        name: _row(one, f"hosts.{name}", "wwywww") for name, one in f.table("hosts", {}).items()
    }
    lapsed = {
        name: _row(one, f"lapsed.{name}", "wwy") for name, one in f.table("lapsed", {}).items()
    }
    vouch = {}
    for zone, one in f.table("vouch", {}).items():
        if not isinstance(one, list) or len(one) != 3 or not isinstance(one[2], dict | None):
            raise EntryRejectedError(
                f"vouch.{zone} must be an age, an index and the hosts confirmed, or null"
            )
        _row(one[:2], f"vouch.{zone}", "ww")
        for host, token in (one[2] or {}).items():
            whole(token, f"vouch.{zone}.{text(host, f'vouch.{zone}')}")
        vouch[zone] = (one[0], one[1], one[2])
    return lambda: ledger.digest(made, zones, came, directors, hosts, lapsed, vouch)


def _ask(f: JsonFields, ledger: "Ledger") -> Any:
    holder, inc, number, units = f.name("holder"), f.whole("inc"), f.whole("n"), f.names("units")
    length, release = f.whole("length"), f.name("release", "")
    if not units:
        raise EntryRejectedError("units names nothing")
    if number < 1:
        raise EntryRejectedError("n counts from 1")
    for unit in units:
        if not unit.startswith(("host/", "director/")):
            raise EntryRejectedError(f"{unit} is neither host/NAME nor director/NAME")
    return lambda: ledger.ask(holder, inc, number, units, length, release)


def _cancel(f: JsonFields, ledger: "Ledger") -> Any:
    holder, inc, number = f.name("holder"), f.whole("inc"), f.whole("n")
    return lambda: ledger.cancel(holder, inc, number)


def _step(method: str) -> Any:
    def read(f: JsonFields, ledger: "Ledger") -> Any:
        holder, inc, unit, token = (
            f.name("holder"),
            f.whole("inc"),
            f.name("unit"),
            f.whole("token"),
        )
        return lambda: getattr(ledger, method)(holder, inc, unit, token)

    return read


def _adopt(f: JsonFields, ledger: "Ledger") -> Any:
    holder, inc, unit = f.name("holder"), f.whole("inc"), f.name("unit")
    return lambda: ledger.adopt(holder, inc, unit)


def _forget(f: JsonFields, ledger: "Ledger") -> Any:
    unit, by = f.name("unit"), f.name("by")
    return lambda: ledger.forget(unit, by)


def _scope(f: JsonFields) -> str:
    scope = f.name("scope")
    if scope != "all" and not (
        scope.startswith(("zone ", "tenant ", "release ")) and scope.partition(" ")[2]
    ):
        raise EntryRejectedError("scope must be all, zone NAME, tenant NAME or release NAME")
    return scope


def _halt(f: JsonFields, ledger: "Ledger") -> Any:
    scope, by, reason = _scope(f), f.name("by"), f.name("reason")
    return lambda: ledger.halt(scope, by, reason)


def _lift(f: JsonFields, ledger: "Ledger") -> Any:
    scope, by = _scope(f), f.name("by")
    return lambda: ledger.lift(scope, by)


def _harm(f: JsonFields, ledger: "Ledger") -> Any:
    release, reason = f.name("release"), f.name("reason")
    return lambda: ledger.harm(release, reason)


KINDS: dict[str, tuple[Any, str]] = {
    "rules": (_rules, "rules"),
    "load": (_load, "class hours"),
    "list": (_list, "v hosts gone"),
    "join": (_join, "director inc zone version"),
    "hold": (_hold, "holder inc"),
    "lapse": (_lapse, "role name inc"),
    "words": (_words, "directors"),
    "agents": (_agents, "hosts"),
    "digest": (_digest, "made zones came directors hosts lapsed vouch"),
    "ask": (_ask, "holder inc n units length release"),
    "cancel": (_cancel, "holder inc n"),
    "drain": (_step("drain"), "holder inc unit token"),
    "out": (_step("out"), "holder inc unit token"),
    "back": (_step("give_back"), "holder inc unit token"),
    "adopt": (_adopt, "holder inc unit"),
    "forget": (_forget, "unit by"),
    "halt": (_halt, "scope by reason"),
    "lift": (_lift, "scope by"),
    "harm": (_harm, "release reason"),
    "tick": (lambda f, ledger: ledger.tick, ""),
}
