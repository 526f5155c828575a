"""Errors of the disruption ledger."""

from ironfall.errors import IronfallError


class EntryRejectedError(IronfallError):
    """An entry that is malformed or may not be applied; the text says why."""
