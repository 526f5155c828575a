"""Errors of the disruption ledger."""

from ironfall.errors import IronfallError


class EntryRejectedError(IronfallError):
    """The entry is malformed or must not be applied; the text is the reason."""
