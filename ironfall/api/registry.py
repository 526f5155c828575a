"""The registry's list of hosts, as the one who asked for it and all whom it is handed on to must take or refuse it."""


class BadList(Exception):
    """The registry's answer can't be taken; the text says where it is wrong. The list held stays."""
