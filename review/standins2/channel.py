"""The relay with a director's channel: what waits in it, by the prices of `WIRE-ironfall.md`."""

import json
import random
import socket
import threading
import time
from collections import deque
from typing import Any

from .platform import Relay
from .processes import Record


class ChannelRelay(Relay):
    """Counts the lines that wait, sends them at the channel's pace, and may spoil answers.

    A message costs its head, its lines, and a line for its mark. Its proxy gets it `TRANSIT_S`
    after it left; the news that it was applied takes `NEWS_S` more (docs/platform.md, "How soon
    drains are heard of": "a quarter to half a second after the proxy acted").
    """

    TRANSIT_S = (0.1, 0.26)
    NEWS_S = (0.25, 0.5)

    def __init__(self, record: Record, classes: list[str], head: int, pace: float) -> None:
        """`head`: lines that a message costs besides its own; `pace`: lines a second."""
        super().__init__(record, classes)
        self.head, self.pace = head, pace
        self.chance = random.Random(1)
        self.queue: deque[tuple[int, float, int | None]] = deque()
        self.waiting = 0.0
        self.most = 0.0
        self.spoil_calls_over = 0.0
        self.spoilt = 0
        threading.Thread(target=self._send_queue, daemon=True).start()

    def _holders(self, host: str) -> set[int]:
        holders = set()
        for node, proxy in self.proxies.items():
            tables = [self.tables.get(table, {}) for table in set(proxy.tables.values())]
            if len(proxy.tables) < len(self.classes):
                tables.append(dict.fromkeys(proxy.standing, 1.0))
            if any(host in table for table in tables):
                holders.add(node)
        return holders

    def _price(self, order: dict[str, Any]) -> dict[int, float]:
        """Returns the lines that an order costs, by proxy, as things stand before it."""
        verb, table = order["verb"], order.get("cluster")
        if verb == "SET":
            users = [n for n, p in self.proxies.items() if table in p.tables.values()]
            return dict.fromkeys(users, 1.0)
        if verb in ("OUT", "IN"):
            return dict.fromkeys(self._holders(order["endpoint"]), 1.0)
        if verb == "LIMIT":
            return dict.fromkeys(self.proxies, 1.0)
        if verb == "USE" and order["node"] in self.proxies:
            lines = 1 + len(self.tables.get(table, {})) + len(self.withdrawn)
            return {order["node"]: float(lines)}
        return {}

    def _commit(self, sock: socket.socket, call: dict[str, Any]) -> None:
        with self.lock:
            costs: dict[int, float] = {}
            nonce, done = None, 0
            for order in call["params"]["orders"]:
                prices = self._price(order)
                if order["verb"] == "SYNC":
                    nonce = order["nonce_out"]
                elif not self._order(order, set()):
                    break
                for node, lines in prices.items():
                    costs[node] = costs.get(node, 0.0) + lines
                done += 1
            total = 0.0
            for node, lines in costs.items():
                cost = lines + self.head + (nonce is not None)
                self.queue.append((node, cost, nonce))
                total += cost
            self.waiting += total
            self.most = max(self.most, self.waiting)
            waiting, orders = round(self.waiting), json.dumps(call["params"]["orders"])
            self.record("call", taken=done, lines=total, waiting=waiting, orders=orders)
            if self.spoil_calls_over and total > self.spoil_calls_over and not self.spoilt:
                self.spoilt += 1
                self.record("answer spoilt", mark=nonce)
                answer = {"jsonrpc": "2.0", "id": call["id"], "result": {"ok_count": "x"}}
                sock.sendall(json.dumps(answer).encode() + b"\n")
                return
            self._send(sock, {"id": call["id"], "result": {"ok_count": done}})

    def _send_queue(self) -> None:
        free_at = time.monotonic()
        while True:
            if not self.queue:
                time.sleep(0.001)
                free_at = max(free_at, time.monotonic())
                continue
            node, cost, nonce = self.queue[0]
            free_at += cost / self.pace
            time.sleep(max(0.0, free_at - time.monotonic()))
            with self.lock:
                self.queue.popleft()
                self.waiting -= cost
            if nonce is not None:
                delay = self.chance.uniform(*self.TRANSIT_S) + self.chance.uniform(*self.NEWS_S)
                threading.Timer(delay, self._done, (node, nonce)).start()

    def _done(self, node: int, nonce: int) -> None:
        with self.lock:
            if node in self.proxies:
                self._tell("done", node=node, nonce=nonce, latency=200.0)
