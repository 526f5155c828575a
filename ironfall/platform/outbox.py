"""Orders until the relay has carried them out: in order, the newest word of each once. Pure.

All orders are absolute, so that whatever is uncertain may be said again: it changes nothing, and costs its lines.
"""

import json
from collections import OrderedDict
from typing import Any

CALL_MOST = 60_000  # bytes of orders in one call, agreed
NONCES = 65536  # calls are counted, under this
CALLS_MOST = 1024  # whose confirmations count; in what a message may take far fewer go out
Key = tuple[Any, ...]


class Outbox:
    def __init__(self, classes: tuple[str, ...], first: int = 0) -> None:
        """`first`: the number before that of the first call; drawn anew at each start, so that what confirms calls of
        the life before confirms none of this."""
        self.classes = classes
        self.waiting: dict[Key, str] = {}
        self.out: dict[Key, str] = {}  # of the call that is out, as far as it is still wanted
        self.sent: list[Key] = []  # what that call said, in order
        self.mark = -1  # the oldest that waits
        self.mark_out = -1
        # Each call has a number of its own, under which proxies confirm it. By the mark of its turn, the confirmation
        # of a call that was not known to be carried out would speak for the next, which says its orders again and
        # newer ones with them.
        self.nonce, self.nonce_out = first, -1
        self.marks: OrderedDict[int, int] = OrderedDict()  # by the numbers of calls

    # what is ordered

    def marked(self, version: int) -> None:
        """Turns that wait for one call share its first mark: what is confirmed by it was ordered by then, and no later.

        By the last, the first confirmation would speak for messages of the others that have not left the channel.
        """
        if self.mark < 0:
            self.mark = version

    def line(self, table: int, host: bytes, weight: float) -> None:
        self._put(
            ("line", table, host),
            {
                "verb": "SET",
                "cluster": table,
                "endpoint": host.decode(),
                "w": float(f"{weight:.6g}"),
            },
        )

    def assign(self, proxy: int, table: int, classes: int) -> None:
        order = {"verb": "USE", "node": proxy, "cluster": table, **self._routes(classes)}
        self._put(("bind", proxy, classes), order)

    def withdraw(self, host: bytes, out: bool) -> None:
        self._put(("host", host), {"verb": "OUT" if out else "IN", "endpoint": host.decode()})

    def admit(self, classes: int, level: float, tries: int) -> None:
        order = {
            "verb": "LIMIT",
            **self._routes(classes),
            "admit": float(f"{level:.6g}"),
            "policy": tries,
        }
        self._put(("level", classes), order)

    def left(self, proxy: int) -> None:
        """Nobody can be bound who has left; should it come back, it is bound anew."""
        for held in (self.waiting, self.out):
            for key in [k for k in held if k[0] == "bind" and k[1] == proxy]:
                del held[key]

    def _routes(self, classes: int) -> dict[str, list[str]]:
        named = [name for k, name in enumerate(self.classes) if classes >> k & 1]
        return {"routes": named} if classes and len(named) < len(self.classes) else {}

    def _put(self, key: Key, order: dict[str, Any]) -> None:
        self._wait(key, json.dumps(order, separators=(",", ":")))

    def _wait(self, key: Key, order: str) -> None:
        # A line stays in its place, so that no binding to its table comes before it; all else goes to the end.
        if key[0] != "line":
            self.waiting.pop(key, None)
        self.waiting[key] = order

    # what becomes of it

    def take(self, most: int = CALL_MOST) -> list[str]:
        """The orders of the next call, of so many bytes, and from now on out; none where nothing waits."""
        found: list[str] = []
        size = 0
        # One nonce stands for all before it: the channel keeps the order.
        nonce = (self.nonce + 1) % NONCES
        mark = json.dumps({"verb": "SYNC", "nonce_out": nonce, "set": 0}, separators=(",", ":"))
        self.out, self.sent, self.mark_out, self.nonce_out = {}, [], -1, -1
        for key, order in self.waiting.items():
            size += len(order) + 1
            if size > most - len(mark) - 1:
                break
            found.append(order)
            self.sent.append(key)
            self.out[key] = order
        for key in self.sent:
            del self.waiting[key]
        if found and self.mark >= 0:
            # Also where more waits, which this can't speak for: it shows that the call was carried out.
            found.append(mark)
            self.nonce = self.nonce_out = nonce
            self.marks.pop(nonce, None)
            if not self.waiting:
                self.sent.append(("mark",))
                self.marks[nonce] = self.mark_out = self.mark
                self.mark = -1
            if len(self.marks) > CALLS_MOST:
                self.marks.popitem(last=False)
        return found

    def done(self, count: int) -> tuple[Key, str] | None:
        """The call was carried out so far: what it stopped at is dropped and returned, what follows waits again."""
        rest = self.sent[count:]
        bad = (rest[0], self.out.get(rest[0], "no longer wanted")) if rest else None
        self._again(rest[1:])
        return bad

    def undone(self) -> None:
        """Nothing of the call is known to have been carried out."""
        self._again(self.sent)

    def _again(self, keys: list[Key]) -> None:
        newer = self.waiting
        self.waiting = {key: self.out[key] for key in keys if key in self.out}
        for key, order in newer.items():
            self._wait(key, order)
        if ("mark",) in keys:
            # Should it be confirmed all the same, its lines wait in the channel once more: that speaks for nothing.
            self.mark = self.mark_out
            self.marks.pop(self.nonce, None)
        self.out, self.sent, self.mark_out, self.nonce_out = {}, [], -1, -1
