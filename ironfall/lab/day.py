"""A day in a text of lines: fleet, demand, and troubles at their times.

    terms ../terms/resale.sexp            relative to the day's file
    length 40s
    hosts harbour 5 cores 2 speed 1.0 queue 30     named h01, h02, ... in the order of the lines
    proxies harbour 3                              named p1, p2, ...
    director harbour                               named d1, d2, ...
    demand 150                                     exchanges a second, over all proxies
    class listing share 40% work 90ms              mean of the work at speed 1
    retries 1                                      a client's own, where that is safe
    cold start 0.25 time 8s                        as hosts really warm; the terms promise no less
    readings every 500ms delay 100ms spread 3s late 10% repeat 5% skew 0s
                                                   each host's, by collectd, where the terms name such
    at 6s crash h03 for 8s                         see TROUBLES

>>> day = read_day("x", "terms t.sexp\\nlength 9s\\nhosts a 2 cores 2\\nproxies a 1\\ndirector a\\ndemand 5\\n"
...                "class c share 100% work 50ms\\nat 2s crash h02 for 3s")
>>> [h.name for h in day.hosts], day.troubles[0].words, day.troubles[0].seconds
(['h01', 'h02'], ('h02',), 3.0)
>>> read_day("x", "length 9")
Traceback (most recent call last):
ironfall.lab.day.BadDay: x:1: expected a time such as 5s or 200ms, not '9'
"""

from dataclasses import dataclass, field
from pathlib import Path

# Each trouble, and the words it takes after its name: h a host, z a zone, d a director, c a class, p a part, t a time,
# x a number, f a file beside the day's, s all or a zone. Keepers and observers are killed and stopped as directors are,
# and observers are restarted too, by SIGTERM (r: a host or one of them). `for TIME`
# says how long it lasts; those without it are over at once. k is a keeper or an observer: deaf (nothing that is said to
# it comes), mute (nothing that it says); spoil, twice and torn: a part of all that is said to and by them.
TROUBLES = {
    "crash": "h",
    "restart": "r",
    "vanish": "h",
    "hang": "h",
    "drain": "h",
    "errors": "hp",
    "slow": "hx",
    "pause": "ht",
    "classfail": "hc",
    "swap": "hh",
    "refuse": "h",
    "lose": "z",
    "cut": "z",
    "break": "p",
    "kill": "d",
    "stop": "d",
    "unlist": "h",
    "late": "t",
    "lie": "hx",
    "unread": "h",
    "work": "h",
    "halt": "s",
    "adopt": "f",
    "err": "f",
    "scribble": "fp",
    "deaf": "k",
    "mute": "k",
    "spoil": "p",
    "twice": "p",
    "torn": "p",
}
LASTING = {
    "crash",
    "vanish",
    "hang",
    "errors",
    "slow",
    "pause",
    "classfail",
    "lose",
    "cut",
    "kill",
    "stop",
    "drain",
    "refuse",
    "unlist",
    "late",
    "lie",
    "unread",
    "work",
    "halt",
    "deaf",
    "mute",
    "spoil",
    "twice",
    "torn",
}
KEEPERS = tuple(f"k{n}" for n in range(1, 6))  # as a day's terms call theirs
OBSERVERS = tuple(f"o{n}" for n in range(1, 17))


class BadDay(Exception):
    """A line of a day's text that is not understood, with its place."""


@dataclass
class HostLine:
    name: str
    zone: str
    cores: int = 2
    speed: float = 1.0
    queue: int = 40
    connections: int = 200
    handshake: float = 0.004  # seconds of work


@dataclass
class Trouble:
    at: float
    what: str
    words: tuple[str, ...]
    seconds: float = 0.0
    line: int = 0


@dataclass
class ClassLine:
    share: float = 0.0
    work: float = 0.05


@dataclass
class ReadingsLine:
    """What hosts' own collectd sends of them: how often, and how badly it comes. Times are seconds."""

    every: float = 1.0
    delay: float = 0.05
    spread: float = 3.0  # of those that come late, up to this much more
    late: float = 0.0  # the part of them that does
    repeat: float = 0.0  # the part that is sent twice
    skew: float = 0.0  # by which the senders' clock is behind


@dataclass
class Day:
    file: str = ""
    terms: str = ""
    length: float = 30.0
    hosts: list[HostLine] = field(default_factory=list)
    proxies: list[tuple[str, str]] = field(default_factory=list)  # name, zone
    directors: list[tuple[str, str]] = field(default_factory=list)
    demand: float = 0.0
    classes: dict[str, ClassLine] = field(default_factory=dict)
    retries: int = 1
    cold_start: float = 0.3
    slow_start_time: float = 8.0
    keys: int = 800
    readings: ReadingsLine | None = None
    troubles: list[Trouble] = field(default_factory=list)


class _Line:
    def __init__(self, file: str, number: int, words: list[str]) -> None:
        self.place, self.words = f"{file}:{number}", words

    def fail(self, what: str) -> BadDay:
        return BadDay(f"{self.place}: {what}")

    def word(self, what: str) -> str:
        if not self.words:
            raise self.fail(f"expected {what} at the end of the line")
        return self.words.pop(0)

    def time(self) -> float:
        word = self.word("a time")
        for unit, seconds in (("ms", 0.001), ("min", 60.0), ("s", 1.0)):
            if word.endswith(unit) and word[: -len(unit)].replace(".", "", 1).isdigit():
                return float(word[: -len(unit)]) * seconds
        raise self.fail(f"expected a time such as 5s or 200ms, not {word!r}")

    def number(self, what: str) -> float:
        word = self.word(what)
        try:
            number = float(word)
        except ValueError:
            number = -1
        if not 0 <= number < 1e9:
            raise self.fail(f"expected {what}, not {word!r}")
        return number

    def part(self) -> float:
        word = self.word("a part such as 40%")
        if (
            not word.endswith("%")
            or not word[:-1].replace(".", "", 1).isdigit()
            or float(word[:-1]) > 100
        ):
            raise self.fail(f"expected a part such as 40%, not {word!r}")
        return float(word[:-1]) / 100

    def named(self, **readers: object) -> dict[str, object]:
        found: dict[str, object] = {}
        while self.words:
            name = self.words.pop(0)
            if name not in readers:
                raise self.fail(f"unknown word {name!r}; expected one of: {', '.join(readers)}")
            found[name] = readers[name]()  # type: ignore[operator]
        return found


def read_day(file: str, text: str) -> Day:
    """The day; raises `BadDay` naming the line."""
    day = Day(file=file)
    for number, raw in enumerate(text.splitlines(), 1):
        words = raw.partition("#")[0].split()
        if words:
            _read(day, _Line(file, number, words[1:]), words[0], number)
    for missing, there in (
        ("terms", day.terms),
        ("hosts", day.hosts),
        ("proxies", day.proxies),
        ("director", day.directors),
        ("class", day.classes),
        ("demand", day.demand),
    ):
        if not there:
            raise BadDay(f"{file}: no line that starts with {missing}")
    if abs(sum(c.share for c in day.classes.values()) - 1) > 0.001:
        raise BadDay(
            f"{file}: the shares of the classes add up to {sum(c.share for c in day.classes.values()):.0%}"
        )
    _check(day)
    return day


def _read(day: Day, line: _Line, head: str, number: int) -> None:
    if head == "terms":
        day.terms = line.word("a file")
    elif head == "length":
        day.length = line.time()
    elif head == "hosts":
        zone, count = line.word("a zone"), int(line.number("a number of hosts"))
        about = line.named(
            cores=lambda: int(line.number("cores")),
            speed=lambda: line.number("a speed"),
            queue=lambda: int(line.number("a queue")),
            handshake=line.time,
            connections=lambda: int(line.number("connections")),
        )
        for _ in range(count):
            day.hosts.append(HostLine(f"h{len(day.hosts) + 1:02}", zone, **about))  # type: ignore[arg-type]
    elif head == "proxies":
        zone, count = line.word("a zone"), int(line.number("a number of proxies"))
        day.proxies += [(f"p{len(day.proxies) + n + 1}", zone) for n in range(count)]
    elif head == "director":
        day.directors.append((f"d{len(day.directors) + 1}", line.word("a zone")))
    elif head == "demand":
        day.demand = line.number("exchanges a second")
    elif head == "class":
        name = line.word("a class")
        day.classes[name] = ClassLine(**line.named(share=line.part, work=line.time))  # type: ignore[arg-type]
    elif head == "retries":
        day.retries = int(line.number("a number of retries"))
    elif head == "keys":
        day.keys = max(1, int(line.number("a number of keys")))
    elif head == "readings":
        about = line.named(
            every=line.time,
            delay=line.time,
            spread=line.time,
            late=line.part,
            repeat=line.part,
            skew=line.time,
        )
        day.readings = ReadingsLine(**about)  # type: ignore[arg-type]
    elif head == "cold":
        about = line.named(start=lambda: line.number("a share"), time=line.time)
        day.cold_start = float(about.get("start", 0.3))  # type: ignore[arg-type]
        day.slow_start_time = float(about.get("time", 8.0))  # type: ignore[arg-type]
    elif head == "at":
        at, what = line.time(), line.word("a trouble")
        if what not in TROUBLES:
            raise line.fail(f"unknown trouble {what!r}; expected one of: {', '.join(TROUBLES)}")
        taken = tuple(line.word(f"another word for {what}") for _ in TROUBLES[what])
        seconds = 0.0
        if what in LASTING:
            if line.word("for TIME") != "for":
                raise line.fail(f"{what} lasts: expected `for TIME`")
            seconds = line.time()
        day.troubles.append(Trouble(at, what, taken, seconds, number))
    else:
        raise line.fail(f"unknown word {head!r}")
    if line.words:
        raise line.fail(f"{' '.join(line.words)!r} is left over")


def _check(day: Day) -> None:
    zones = (
        {h.zone for h in day.hosts} | {z for _, z in day.proxies} | {z for _, z in day.directors}
    )
    known = {
        "h": {h.name for h in day.hosts},
        "z": zones,
        "s": zones | {"all"},
        "c": set(day.classes),
        "d": {*(n for n, _ in day.directors), *KEEPERS, *OBSERVERS},
        "k": {*KEEPERS, *OBSERVERS},
        "r": {*(h.name for h in day.hosts), *OBSERVERS},
    }
    names = {
        "h": "host",
        "z": "zone",
        "d": "director",
        "c": "class",
        "s": "zone",
        "k": "keeper",
        "r": "host",
    }
    for trouble in day.troubles:
        line = _Line(day.file, trouble.line, list(trouble.words))
        for letter in TROUBLES[trouble.what]:
            if letter in known:
                word = line.word(names[letter])
                if word not in known[letter]:
                    raise line.fail(f"no {names[letter]} is called {word!r}")
            elif letter == "p":
                line.part()
            elif letter == "f":
                beside(day, line.word("a file"))
            elif letter == "t":
                line.time()
            else:
                line.number("a number")
    day.troubles.sort(key=lambda t: t.at)


def beside(day: Day, word: str) -> Path:
    """A file that the day names."""
    return Path(day.file).parent / word


def part_of(word: str) -> float:
    return float(word.rstrip("%")) / 100


def seconds_of(word: str) -> float:
    return _Line("", 0, [word]).time()


def load(path: str | Path) -> Day:
    return read_day(str(path), Path(path).read_text())


def by_other_terms(path: Path, terms: Path, to: Path) -> Path:
    """A copy of a day that goes by other terms, written to `to`."""
    lines = path.read_text().splitlines()
    words = [
        f"terms {terms.resolve()}" if line.split()[:1] == ["terms"] else line for line in lines
    ]
    # What a day names is beside it; the copy is elsewhere.
    for n, line in enumerate(words):
        if line.split()[2:3] and TROUBLES.get(line.split()[2], "").startswith("f"):
            at, when, what, file, *rest = line.split()
            words[n] = " ".join([at, when, what, str((path.parent / file).resolve()), *rest])
    to.parent.mkdir(parents=True, exist_ok=True)
    to.write_text("\n".join(words) + "\n")
    return to
