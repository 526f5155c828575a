"""Maps series to gauges of hosts by the patterns in the settings. No I/O.

`servers.{host}.util` takes the host's name from the second component; `*` matches any component.

>>> mapping = Mapping([("servers.{host}.util", "busy", 0.01), ("{host}.*.gauge-queue", "q", 1.0)])
>>> mapping.find("servers.node7.util")
('node7', 'busy', 0.01)
>>> mapping.find("node7.web.gauge-queue")
('node7', 'q', 1.0)
>>> mapping.find("servers.node7.disk")
"""

import re

_PATTERN = re.compile(
    r"(?:[A-Za-z0-9_%:@#+-]+|\*|\{host\})(?:\.(?:[A-Za-z0-9_%:@#+-]+|\*|\{host\}))*\Z"
)


def pattern_error(pattern: str) -> str:
    """Returns what is wrong with a pattern, or an empty string if it is valid."""
    if not _PATTERN.match(pattern):
        return "expected dot-separated components, each a plain name, * or {host}"
    return "" if pattern.count("{host}") == 1 else "expected {host} exactly once"


class Mapping:
    """Finds the gauge of a series.

    Args:
        patterns: Each pattern with the decision engine's name of the gauge, and the factor that
            converts a value of the series to the gauge.
    """

    def __init__(self, patterns: list[tuple[str, str, float]]) -> None:
        self.patterns = patterns
        regex_texts = []
        for n, (pattern, _, _) in enumerate(patterns):
            components = [
                r"[^.]+"
                if component == "*"
                else rf"(?P<h{n}>[^.]+)"
                if component == "{host}"
                else re.escape(component)
                for component in pattern.split(".")
            ]
            regex_texts.append(rf"(?P<p{n}>" + r"\.".join(components) + ")")
        self.regexes = [re.compile(regex_text + r"\Z") for regex_text in regex_texts]

    def find(self, series: str) -> tuple[str, str, float] | None:
        """Returns the host's name, the gauge and the factor by the first pattern that matches."""
        for n, regex in enumerate(self.regexes):
            if match := regex.match(series):
                return match.group(f"h{n}"), *self.patterns[n][1:]
        return None
