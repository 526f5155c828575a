"""Few lines of JSON on standard error. structlog would be a quarter of all the memory that the program takes."""

import json
import sys
import time
from typing import Any


class Log:
    def __init__(self, name: str) -> None:
        self.name = name

    def info(self, event: str, **about: Any) -> None:
        self._say("info", event, about)

    def warning(self, event: str, **about: Any) -> None:
        self._say("warning", event, about)

    def error(self, event: str, **about: Any) -> None:
        self._say("error", event, about)

    def _say(self, level: str, event: str, about: dict[str, Any]) -> None:
        line = {
            "at": round(time.time(), 3),
            "director": self.name,
            "level": level,
            "event": event,
            **about,
        }
        try:
            sys.stderr.write(json.dumps(line, default=str) + "\n")
            sys.stderr.flush()
        except OSError:
            pass  # nobody reads it any more: no reason to stop deciding
