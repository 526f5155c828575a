"""Writes the log as JSON lines to standard error.

structlog is not used here: it would take a quarter of the memory that a director may use.
"""

import json
import sys
import time
from typing import Protocol


class EventLog(Protocol):
    """Receives log events: a name, and fields with JSON-serializable values."""

    def info(self, event: str, **fields: object) -> None:
        """Logs a normal event."""

    def warning(self, event: str, **fields: object) -> None:
        """Logs an event that an operator may want to investigate."""

    def error(self, event: str, **fields: object) -> None:
        """Logs a failure."""


class JsonLog:
    """The log of one director; each event is flushed when it is written."""

    def __init__(self, director_name: str) -> None:
        self._director_name = director_name

    def info(self, event: str, **fields: object) -> None:
        """Logs a normal event."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Logs an event that an operator may want to investigate."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Logs a failure."""
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        entry = {
            "at": round(time.time(), 3),
            "director": self._director_name,
            "level": level,
            "event": event,
            **fields,
        }
        try:
            sys.stderr.write(json.dumps(entry, default=str) + "\n")
            sys.stderr.flush()
        except OSError:
            pass  # standard error is closed: the director works on without its log
