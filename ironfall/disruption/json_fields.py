"""Reads the fields of JSON objects with checks of type and bounds.

Errors name the path of the field.
"""

from typing import Any

from ironfall.disruption.errors import EntryRejectedError

MAX_INTEGER = 1 << 53
"""Every JSON parser keeps integers up to this value exact."""
MAX_ITEMS = 16_384
"""The most items of a list or object, unless the rules allow more hosts."""
MAX_TEXT_LENGTH = 256
"""The most characters of a name."""
MAX_SHOWN_LENGTH = 64
"""How many characters of an unknown field's name an error repeats."""


class JsonFields:
    """One JSON object; its methods raise `EntryRejectedError` with the path of the faulty field."""

    def __init__(self, value: Any, where: str, known: str, max_items: int = MAX_ITEMS) -> None:
        """Checks that the value is an object without unknown fields.

        Args:
            value: the decoded JSON value.
            where: the path of the value in the entry; empty for the entry itself.
            known: the names of the fields it may have, separated by spaces.
            max_items: the most items of a list or object in it.

        Raises:
            EntryRejectedError: the value is no object or has an unknown field.
        """
        if not isinstance(value, dict):
            raise EntryRejectedError(f"{where or 'an entry'} must be an object")
        self.held = value
        self.where = where + "." if where else ""
        self.max_items = max_items
        if unknown := sorted(set(value) - set(known.split())):
            raise EntryRejectedError(f"unknown field {self.where}{unknown[0][:MAX_SHOWN_LENGTH]}")

    def get(self, name: str, default: Any = None) -> Any:
        """Returns a field's value unchecked, or the default if the field is missing.

        Raises `EntryRejectedError` if it is missing and there is no default.
        """
        if name in self.held:
            return self.held[name]
        if default is None:
            raise EntryRejectedError(f"{self.where}{name} is missing")
        return default

    def whole(self, name: str, default: int | None = None, maximum: int = MAX_INTEGER) -> int:
        """Returns an integer field from 0 to `maximum`."""
        return whole(self.get(name, default), self.where + name, maximum)

    def name(self, name: str, default: str | None = None) -> str:
        """Returns a text field of 1 to 256 characters; it may be empty if the default is."""
        value = self.get(name, default)
        if value == "" and default == "":
            return ""
        return text(value, self.where + name)

    def yes(self, name: str, default: bool | None = None) -> bool:
        """Returns a boolean field."""
        value = self.get(name, default)
        if not isinstance(value, bool):
            raise EntryRejectedError(f"{self.where}{name} must be true or false")
        return value

    def names(self, name: str, default: list[str] | None = None) -> list[str]:
        """Returns a field that is a list of names without duplicates."""
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
        """Returns a field that is an object whose keys are names; its values are not checked."""
        value = self.get(name, default)
        if not isinstance(value, dict) or len(value) > self.max_items:
            raise EntryRejectedError(
                f"{self.where}{name} must be an object of at most {self.max_items} names"
            )
        for key in value:
            text(key, self.where + name)
        return value


def whole(value: Any, where: str, maximum: int = MAX_INTEGER) -> int:
    """Returns an integer from 0 to `maximum`; raises `EntryRejectedError` for any other value."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise EntryRejectedError(f"{where} must be a whole number from 0 to {maximum}")
    return value


def text(value: Any, where: str) -> str:
    """Returns the value; raises `EntryRejectedError` unless it is a text of 1 to 256 characters."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise EntryRejectedError(f"{where} must be a text of 1 to {MAX_TEXT_LENGTH} characters")
    return value


def boolean(value: Any, where: str) -> bool:
    """Returns the value; raises `EntryRejectedError` unless it is a boolean."""
    if not isinstance(value, bool):
        raise EntryRejectedError(f"{where} must have true or false in its place")
    return value


def row(value: Any, where: str, length: int) -> list[Any]:
    """Returns the value; raises `EntryRejectedError` unless it is a list of this length."""
    if not isinstance(value, list) or len(value) != length:
        raise EntryRejectedError(f"{where} must be a list of {length}")
    return value
