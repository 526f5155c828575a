"""The proxy as a whole: accepts the connections of clients and forwards their requests."""

import random
import socket
from dataclasses import dataclass

import gevent
from gevent.event import Event
from gevent.server import StreamServer
from gevent.threadpool import ThreadPool

from ironfall.api.exchange import Outbox, frame, frames
from ironfall.generated import ironfall_pb2 as pb
from ironfall.proxy.connection_pool import ConnectionPool
from ironfall.proxy.control_client import ControlClient, ControlClientConfig
from ironfall.proxy.environment import (
    TICKS_PER_SECOND,
    Environment,
    EventLog,
    ignore_event,
    monotonic_ticks,
)
from ironfall.proxy.initial_tables import InitialTables
from ironfall.proxy.load_balancing import LoadBalancer
from ironfall.proxy.load_reports import LoadSums
from ironfall.proxy.request_forwarding import RequestForwarder
from ironfall.proxy.table_cache import load_tables, save_tables
from ironfall.publication import Holding
from ironfall.publication.holding import CachedState
from ironfall.storage.disk import Disk
from ironfall.terms import Terms

# Requests beyond this number are rejected at once.
MAX_REQUESTS_IN_FLIGHT = 20_000
# Responses that wait for one client.
MAX_QUEUED_RESPONSES = 20_000
ACCEPT_BACKLOG = 256
STOP_TIMEOUT_S = 0.2
MIN_CACHE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """One proxy of a service.

    Attributes:
        settings: The settings of the service.
        name: The name of the proxy.
        zone: Its zone.
        rate: The requests per second that it expects.
        listen: The address on which it accepts clients.
        directors: The addresses of the directors.
        seed: The seed of all its random choices.
    """

    settings: Terms
    name: str
    zone: str
    rate: float
    listen: tuple[str, int]
    directors: list[tuple[str, int]]
    seed: int


class Proxy:
    """A proxy that serves clients from `start` to `stop`.

    Attributes:
        tables: The tables by which the proxy routes.
        load: The load to be reported.
        in_flight: The number of requests that are being forwarded.
        served: The number of requests that have ended.
    """

    def __init__(
        self,
        config: ProxyConfig,
        log_event: EventLog = ignore_event,
        initial_table: dict[str, int] | None = None,
        disk: Disk | None = None,
    ) -> None:
        """Makes the first tables and binds the listening socket; may block on the list of hosts.

        Args:
            config: Which proxy it is.
            log_event: Receives its events.
            initial_table: The weights to start with, in millionths, by host. By default the
                tables cached on the disk, or else a sample of the list of hosts.
            disk: Where the tables are cached, if anywhere.

        Raises:
            ConnectionError: There are no tables to start with.
        """
        self.config = config
        self.disk = disk
        random_source = random.Random(config.seed)
        self.environment = Environment(monotonic_ticks, random_source, log_event)
        cached = self._load_cache()
        if initial_table is None:
            initial_table = self._make_initial_table(cached)
        self.tables = self._make_tables(initial_table, cached)
        self.balancer = LoadBalancer(self.tables, config.settings.proxy, random_source)
        self.load = LoadSums(monotonic_ticks(), len(config.settings.classes))
        self.pool = self._make_connection_pool()
        self.forwarder = RequestForwarder(
            config.settings, self.balancer, self.pool, self.load, self.environment
        )
        self.control_client = self._make_control_client()
        self.in_flight = 0
        self.served = 0
        self.server = StreamServer(config.listen, self._serve_client, backlog=ACCEPT_BACKLOG)
        self._cache_is_stale = Event()
        self._cache_writer: gevent.Greenlet | None = None
        log_event("starts", zone=config.zone, standing=initial_table)

    def start(self, first_director: int = 0) -> None:
        """Serves clients; `first_director` is the index of the director to join first."""
        self.server.start()
        self.control_client.start(first_director)
        if self.disk is not None:
            self._cache_writer = gevent.spawn(self._write_cache, self.disk)

    def stop(self) -> None:
        """Stops serving, and abandons the requests in flight after a short wait."""
        self.control_client.stop()
        if self._cache_writer is not None:
            self._cache_writer.kill()
        self.server.stop(STOP_TIMEOUT_S)

    def on_tables_changed(self) -> None:
        """Adapts to new tables: choice of hosts, connections, cache."""
        self.balancer.on_tables_changed()
        self._cache_is_stale.set()
        self.pool.close_unused(self.tables.named())

    def _make_tables(
        self, initial_table: dict[str, int], cached: list[CachedState] | None
    ) -> Holding:
        tables = Holding(len(self.config.settings.classes), initial_table)
        if cached:
            tables.cached = cached
            line_counts = [len(state.table) for state in cached]
            self.environment.log_event("cached tables loaded", lines=line_counts)
        return tables

    def _make_connection_pool(self) -> ConnectionPool:
        settings = self.config.settings.proxy
        return ConnectionPool(
            pb.Hello(who=self.config.name, zone=self.config.zone),
            settings.connect_time / TICKS_PER_SECOND,
            settings.streams,
        )

    def _make_control_client(self) -> ControlClient:
        config = self.config
        return ControlClient(
            ControlClientConfig(config.name, config.zone, config.rate, config.directors),
            self.tables,
            self.load,
            self.environment,
            self.on_tables_changed,
        )

    def _load_cache(self) -> list[CachedState] | None:
        if self.disk is None:
            return None
        cached, fault = load_tables(self.disk, len(self.config.settings.classes))
        if fault:
            self.environment.log_event("cached tables rejected", cause=fault)
        return cached

    def _make_initial_table(self, cached: list[CachedState] | None) -> dict[str, int]:
        """Returns the weights to start with, none if there are cached ones, which it updates."""
        config = self.config
        initial_tables = InitialTables(
            config.settings, config.name, config.zone, self.environment.random_source
        )
        if not cached:
            return initial_tables.sample_hosts()
        initial_tables.withdraw_departed_hosts(cached)
        return {}

    def _write_cache(self, disk: Disk) -> None:
        """Caches changed tables, in a thread; a fault of the disk affects nothing else."""
        pool = ThreadPool(1)
        while True:
            self._cache_is_stale.wait()
            self._cache_is_stale.clear()
            try:
                pool.apply(save_tables, (disk, self.tables))
            except OSError as error:
                self.environment.log_event("table cache not written", cause=str(error))
            gevent.sleep(MIN_CACHE_INTERVAL_S)

    def _serve_client(self, sock: socket.socket, _address: tuple[str, int]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        outbox = Outbox(sock, MAX_QUEUED_RESPONSES)
        running: dict[int, gevent.Greenlet] = {}
        try:
            for message in frames(sock):
                message_type = message.WhichOneof("what")
                if message_type == "exchange":
                    self._on_request(message.exchange, outbox, running)
                elif message_type == "cancel" and message.cancel.id in running:
                    running.pop(message.cancel.id).kill(block=False)
        except OSError:
            pass
        finally:
            # A client that disconnects abandons its requests.
            gevent.killall(list(running.values()), block=False)
            outbox.close()
            sock.close()

    def _on_request(
        self, request: pb.Exchange, outbox: Outbox, running: dict[int, gevent.Greenlet]
    ) -> None:
        rejection = ""
        if request.kind >= len(self.config.settings.classes):
            rejection = "unknown class"
        elif self.in_flight >= MAX_REQUESTS_IN_FLIGHT:
            rejection = "too many in hand"
        if rejection:
            answer = pb.Answer(id=request.id, outcome=pb.REFUSED, cause=rejection)
            outbox.put(frame(answer=answer))
            return
        running[request.id] = gevent.spawn(self._serve_request, request, outbox, running)

    def _serve_request(
        self, request: pb.Exchange, outbox: Outbox, running: dict[int, gevent.Greenlet]
    ) -> None:
        self.in_flight += 1
        # Forwarding overwrites the number that the client gave to the request.
        number = request.id
        self.load.on_request_arrived(request.kind)
        has_failed = True
        try:
            answer = self.forwarder.forward(request)
            has_failed = answer.outcome == pb.FAILED
            answer.id = number
            outbox.put(frame(answer=answer))
        finally:
            self.in_flight -= 1
            self.served += 1
            running.pop(number, None)
            if has_failed:
                self.load.on_request_failed(request.kind)
