"""A bounded reader of JSON objects: each field by name, type and bound, each fault by its place."""

from typing import Any

from ironfall.disruption.errors import EntryRejectedError

MAX_INTEGER = 1 << 53
"""Up to here every JSON reader keeps integers exactly."""
MAX_ITEMS = 16_384
"""Items of a list or object, unless the rules allow more hosts."""
MAX_TEXT_LENGTH = 256
"""Characters of a name."""
MAX_SHOWN_LENGTH = 64
"""Characters of an unknown name that a fault repeats."""


class JsonFields:
    """One JSON object; methods raise `EntryRejectedError` with the place of a fault."""

    def __init__(self, held: Any, where: str, known: str, max_items: int = MAX_ITEMS) -> None:
        """Checks that the value is an object with known fields alone.

        Args:
            held: the decoded JSON value.
            where: its place in the entry; empty for the entry itself.
            known: names of the fields it may have, divided by spaces.
            max_items: the most items of a list or object in it.
        """
        if not isinstance(held, dict):
            raise EntryRejectedError(f"{where or 'an entry'} must be an object")
        self.held = held
        self.where = where + "." if where else ""
        self.max_items = max_items
        if unknown := sorted(set(held) - set(known.split())):
            raise EntryRejectedError(f"unknown field {self.where}{unknown[0][:MAX_SHOWN_LENGTH]}")

    def get(self, name: str, default: Any = None) -> Any:
        """A field's value as it is, or the default."""
        if name in self.held:
            return self.held[name]
        if default is None:
            raise EntryRejectedError(f"{self.where}{name} is missing")
        return default

    def whole(self, name: str, default: int | None = None, maximum: int = MAX_INTEGER) -> int:
        """An integer from 0 to `maximum`."""
        return whole(self.get(name, default), self.where + name, maximum)

    def name(self, name: str, default: str | None = None) -> str:
        """A text of 1 to 256 characters; it may be empty if the default is."""
        value = self.get(name, default)
        if value == "" and default == "":
            return ""
        return text(value, self.where + name)

    def yes(self, name: str, default: bool | None = None) -> bool:
        """A boolean."""
        value = self.get(name, default)
        if not isinstance(value, bool):
            raise EntryRejectedError(f"{self.where}{name} must be true or false")
        return value

    def names(self, name: str, default: list[str] | None = None) -> list[str]:
        """A list of different names."""
        value = self.get(name, default)
        if not isinstance(value, list) or len(value) > self.max_items:
            raise EntryRejectedError(
                f"{self.where}{name} must be a list of at most {self.max_items} names"
            )
        found = [text(item, self.where + name) for item in value]
        if len(set(found)) < len(found):
            raise EntryRejectedError(f"{self.where}{name} names one twice")
        return found

    def table(self, name: str, default: dict[str, Any] | None = None) -> dict[str, Any]:
        """An object whose keys are names, with values of any type."""
        value = self.get(name, default)
        if not isinstance(value, dict) or len(value) > self.max_items:
            raise EntryRejectedError(
                f"{self.where}{name} must be an object of at most {self.max_items} names"
            )
        for key in value:
            text(key, self.where + name)
        return value


def whole(value: Any, where: str, maximum: int = MAX_INTEGER) -> int:
    """The value, if it is an integer from 0 to `maximum`; raises `EntryRejectedError` else."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise EntryRejectedError(f"{where} must be a whole number from 0 to {maximum}")
    return value


def text(value: Any, where: str) -> str:
    """The value, if it is a text of 1 to 256 characters; raises `EntryRejectedError` else."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise EntryRejectedError(f"{where} must be a text of 1 to {MAX_TEXT_LENGTH} characters")
    return value


def boolean(value: Any, where: str) -> bool:
    """The value, if it is a boolean in a row; raises `EntryRejectedError` else."""
    if not isinstance(value, bool):
        raise EntryRejectedError(f"{where} must have true or false in its place")
    return value


def row(value: Any, where: str, length: int) -> list[Any]:
    """The value, if it is a list of this length; raises `EntryRejectedError` else."""
    if not isinstance(value, list) or len(value) != length:
        raise EntryRejectedError(f"{where} must be a list of {length}")
    return value
