"""A small deployment: hosts in three zones, their registry, a director and proxies."""

import asyncio
import json
import os
import time
from dataclasses import dataclass, field

from review.standins.clients import Client, Mix
from review.standins.hosts import Host
from review.standins.processes import ROOT, CaseNotRunError, Processes, free_port
from review.standins.record import Record
from review.standins.registry import Registry

ZONES = ("harbour", "hill", "plain")
# As `deploy/balancer.toml` starts the director in service; the verb is another.
IRONFALL = "exec .venv/bin/python -m ironfall"
READY_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 2.0
POLL_S = 0.1
# Loopback addresses of their own for each run, so that two runs do not meet.
NETWORK = f"127.{1 + os.getpid() % 250}"
# All hosts have long been up.
UP_S = 3_600.0


async def get_json(address: tuple[str, int], path: str) -> dict[str, object]:
    """Returns the JSON that an HTTP server answers; raises `OSError` if it does not answer."""
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        answer = await reader.read()
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    status = head.split(b"\r\n")[0].decode("latin-1")
    if " 200 " not in status:
        raise OSError(status)
    found: dict[str, object] = json.loads(body)
    return found


@dataclass
class Deployment:
    """The processes and stand-ins of a case.

    Attributes:
        record: Of the case.
        processes: The project's programs.
        registry: The list of hosts.
        hosts: By name.
        clients: One for each proxy.
        director_address: Where the director listens.
    """

    record: Record
    processes: Processes
    registry: Registry = field(init=False)
    hosts: dict[str, Host] = field(default_factory=dict)
    clients: list[Client] = field(default_factory=list)
    director_address: tuple[str, int] = ("", 0)

    def __post_init__(self) -> None:
        self.registry = Registry(self.record)

    async def start_hosts(self, count: int) -> None:
        """Starts hosts in all zones, and the registry that lists them."""
        for number in range(1, count + 1):
            name, zone = f"h{number:02}", ZONES[number % len(ZONES)]
            ip = f"{NETWORK}.1.{number}"
            host = Host(self.record, name, zone, (ip, free_port(ip)))
            await host.start()
            self.hosts[name] = host
            self.registry.rows[name] = {
                "name": name,
                "address": f"{ip}:{host.address[1]}",
                "zone": zone,
                "state": "ready",
                "weight": 1.0,
                "incarnation": f"{name}-1",
                "started_at": time.monotonic() - UP_S,
            }
        ip = f"{NETWORK}.0.1"
        self.registry_address = (ip, free_port(ip))
        await self.registry.start(*self.registry_address)

    def write_terms(self) -> None:
        """Writes the settings: those of `deploy/terms/resale.sexp`, with the run's addresses."""
        ip = f"{NETWORK}.0.2"
        self.director_address = (ip, free_port(ip))
        registry = f"{self.registry_address[0]}:{self.registry_address[1]}"
        text = (ROOT / "deploy/terms/resale.sexp").read_text()
        text = text.replace("127.0.0.1:7600", registry)
        text = text.replace("127.0.0.1:7601", f"{ip}:{self.director_address[1]}")
        self.terms = self.processes.folder / "resale.sexp"
        self.terms.write_text(text)

    def start_director(self) -> None:
        """Starts the director as a process."""
        words = f"--log json director {self.terms} --name d1 --zone {ZONES[0]}"
        self.processes.start("director", f"{IRONFALL} {words}")

    async def director_ready(self) -> None:
        """Waits until the director serves; raises `CaseNotRunError` if it does not."""
        if not await self.director_serves(READY_TIMEOUT_S):
            raise CaseNotRunError("the director did not come up: " + self.processes.log("director"))

    async def director_serves(self, seconds: float) -> bool:
        """Returns whether the director lists hosts and answers within some time."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while loop.time() < ends and self.processes.exit_code("director") is None:
            try:
                if (await get_json(self.director_address, "/v1/status"))["hosts"]:
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(POLL_S)
        return False

    async def start_proxies(self, count: int, mix: Mix) -> None:
        """Starts proxies of all zones in one process, and connects a client to each."""
        words = [f"proxy {self.terms}"]
        addresses = []
        for number in range(1, count + 1):
            ip = f"{NETWORK}.2.{number}"
            addresses.append((ip, free_port(ip)))
            zone = ZONES[number % len(ZONES)]
            words.append(f"--as p{number},{zone},{mix.rate:g},{ip}:{addresses[-1][1]}")
        self.processes.start("proxies", f"{IRONFALL} {' '.join(words)}")
        for number, address in enumerate(addresses, 1):
            client = Client(f"c{number}", mix, self.record, seed=number)
            await self._connect(client, address)
            self.clients.append(client)

    async def _connect(self, client: Client, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + READY_TIMEOUT_S
        while loop.time() < ends:
            try:
                await client.connect(address)
            except OSError:
                await asyncio.sleep(POLL_S)
            else:
                return
        raise CaseNotRunError("the proxies did not come up: " + self.processes.log("proxies"))

    async def close(self) -> None:
        """Ends everything."""
        for client in self.clients:
            client.close()
        for host in self.hosts.values():
            await host.stop()
        self.processes.close()
