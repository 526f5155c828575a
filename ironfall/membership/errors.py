"""Errors of the messages between members, aggregators and the leader."""

from ironfall.errors import IronfallError


class MalformedMessageError(IronfallError, ValueError):
    """A message or an answer can't be read; the text names the place and the cause."""
