"""Remembers which proxies have confirmed which calls to the relay. Pure: no I/O."""

from collections import OrderedDict

MAX_REMEMBERED_NONCES = 64


class NonceConfirmations:
    """The confirmations of the most recent nonces, so that each counts once.

    Attributes:
        proxies_by_nonce: The proxies that have confirmed each nonce, oldest nonce first.
    """

    def __init__(self) -> None:
        self.proxies_by_nonce: OrderedDict[int, set[int]] = OrderedDict()

    def add(self, nonce: int, proxy: int) -> bool:
        """Adds a proxy's confirmation; returns whether it is the first that was delivered."""
        proxies = self.proxies_by_nonce.setdefault(nonce, set())
        if len(self.proxies_by_nonce) > MAX_REMEMBERED_NONCES:
            self.proxies_by_nonce.popitem(last=False)
        if proxy in proxies:
            return False
        proxies.add(proxy)
        return True

    def forget(self, nonce: int) -> None:
        """Drops the confirmations of a nonce."""
        self.proxies_by_nonce.pop(nonce, None)
