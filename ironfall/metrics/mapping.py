"""Which series is which gauge of which host: patterns from the terms. No I/O.

`servers.{host}.util` takes the host's name from the second piece; `*` is any piece.

>>> mapping = Mapping([("servers.{host}.util", "busy"), ("{host}.*.gauge-queue", "q")])
>>> mapping.find("servers.node7.util")
('node7', 'busy')
>>> mapping.find("node7.web.gauge-queue")
('node7', 'q')
>>> mapping.find("servers.node7.disk")
"""

import re

PATTERN = re.compile(r"(?:[A-Za-z0-9_%:@#+-]+|\*|\{host\})(?:\.(?:[A-Za-z0-9_%:@#+-]+|\*|\{host\}))*\Z")


def fault(pattern: str) -> str:
    """What is wrong with a pattern; nothing if it is good."""
    if not PATTERN.match(pattern):
        return "expected pieces with dots between them, each plain, * or {host}"
    return "" if pattern.count("{host}") == 1 else "expected {host} once"


class Mapping:
    def __init__(self, patterns: list[tuple[str, str]]) -> None:
        self.patterns = patterns
        parts = []
        for n, (pattern, _) in enumerate(patterns):
            pieces = [r"[^.]+" if p == "*" else rf"(?P<h{n}>[^.]+)" if p == "{host}" else re.escape(p)
                      for p in pattern.split(".")]  # fmt: skip
            parts.append(rf"(?P<p{n}>" + r"\.".join(pieces) + ")")
        self.each = [re.compile(part + r"\Z") for part in parts]

    def find(self, series: str) -> tuple[str, str] | None:
        """The host's name and the module's name of the gauge; the first pattern that fits counts."""
        for n, regex in enumerate(self.each):
            if found := regex.match(series):
                return found.group(f"h{n}"), self.patterns[n][1]
        return None
