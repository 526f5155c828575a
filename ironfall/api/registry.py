"""The error that every user of the registry's host list raises for a list that is rejected."""


class BadList(Exception):
    """The registry's answer is rejected; the text names the faulty entry. The last list is kept."""
