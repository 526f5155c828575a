"""Which series is which gauge of which host: patterns from the terms. No I/O.

`servers.{host}.util` takes the host's name from the second piece; `*` is any piece.

>>> mapping = Mapping([("servers.{host}.util", "busy", 0.01), ("{host}.*.gauge-queue", "q", 1.0)])
>>> mapping.find("servers.node7.util")
('node7', 'busy', 0.01)
>>> mapping.find("node7.web.gauge-queue")
('node7', 'q', 1.0)
>>> mapping.find("servers.node7.disk")
"""

import re

PATTERN = re.compile(
    r"(?:[A-Za-z0-9_%:@#+-]+|\*|\{host\})(?:\.(?:[A-Za-z0-9_%:@#+-]+|\*|\{host\}))*\Z"
)


def fault(pattern: str) -> str:
    """What is wrong with a pattern; nothing if it is good."""
    if not PATTERN.match(pattern):
        return "expected pieces with dots between them, each plain, * or {host}"
    return "" if pattern.count("{host}") == 1 else "expected {host} once"


class Mapping:
    """`patterns`: each with the module's name of the gauge, and what a value is multiplied by to be one."""

    def __init__(self, patterns: list[tuple[str, str, float]]) -> None:
        self.patterns = patterns
        parts = []
        for n, (pattern, _, _) in enumerate(patterns):
            pieces = [
                r"[^.]+" if p == "*" else rf"(?P<h{n}>[^.]+)" if p == "{host}" else re.escape(p)
                for p in pattern.split(".")
            ]
            parts.append(rf"(?P<p{n}>" + r"\.".join(pieces) + ")")
        self.each = [re.compile(part + r"\Z") for part in parts]

    def find(self, series: str) -> tuple[str, str, float] | None:
        """The host's name, the module's name of the gauge, and its scale; the first pattern that fits counts."""
        for n, regex in enumerate(self.each):
            if found := regex.match(series):
                return found.group(f"h{n}"), *self.patterns[n][1:]
        return None
