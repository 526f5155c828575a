"""The base of all errors that ironfall raises on its own account."""


class IronfallError(Exception):
    """Base of ironfall's errors; subclasses carry what went wrong in fields beside the text."""
