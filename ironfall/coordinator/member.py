"""A coordinator's consensus member, started from its disk and restarted when the disk fails."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Concatenate, ParamSpec, TypeVar

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from ironfall.consensus import Configuration, Outcome, Role
from ironfall.coordinator import peer_codec
from ironfall.coordinator.clock import ClockCheck, SystemClock
from ironfall.coordinator.coordinator_node import CoordinatorNode
from ironfall.coordinator.disk import MemberStore
from ironfall.coordinator.disk_writer import DiskWriter
from ironfall.coordinator.leader_session import LeaderSession
from ironfall.coordinator.member_settings import MemberSettings
from ironfall.coordinator.member_startup import (
    RestartBackoff,
    StartState,
    read_disk,
    replace_rolled_back_disk,
)
from ironfall.coordinator.node_environment import NodeEnvironment
from ironfall.coordinator.node_timer import NodeTimer
from ironfall.coordinator.peer_messages import PeerMessages
from ironfall.coordinator.peers import PeerNetwork
from ironfall.coordinator.pending_replies import ReadReply, Reply
from ironfall.coordinator.state_machine import LedgerStateMachine
from ironfall.storage.disk import Disk

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

OPEN_SESSION_TIMEOUT_S = 5.0
# How long a proposal waits for a new leader to open its session.
SESSION_WAIT_S = 1.0
# A leader that stops waits up to this long for its transfer messages to leave the queues, polling
# each LEAVE_POLL_S, and then LEAVE_GRACE_S for the peers to handle them.
LEAVE_TIMEOUT_S = 0.3
LEAVE_POLL_S = 0.005
LEAVE_GRACE_S = 0.02
STOPPING = "the coordinator is stopping"

Parameters = ParamSpec("Parameters")
State = TypeVar("State")


class CoordinatorMember:
    """Runs a consensus node with its disk, timer, peers and requests.

    Attributes:
        settings: which member of which group this is.
        clock: the machine's clocks.
        store: this member's disk.
        node: None while the disk can't be used.
        state_machine: the node applies entries to it.
        leadership_bar: why this member must not lead; empty if it may.
        is_stopping: whether requests are refused because this member stops.
        changed: set when the ledger, the node or its leadership may have changed; waiters clear it.
        broken: set when this member stopped because of an internal error.
    """

    def __init__(
        self,
        settings: MemberSettings,
        disk: Disk,
        clock: SystemClock,
        random_source: random.Random,
        log: FilteringBoundLogger,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.store = MemberStore(disk, settings.name)
        self.node: CoordinatorNode | None = None
        self.state_machine = LedgerStateMachine()
        self.leadership_bar = ""
        self.is_stopping = False
        self.changed = Event()
        self.broken = Event()
        # A single thread, so that a write in progress ends before the disk is read.
        self._pool = ThreadPool(1)
        self._clock_check = ClockCheck()
        self._leader_session = LeaderSession(log, self._open_session, self.spawn)
        self._backoff = RestartBackoff(random_source)
        self._starting: gevent.Greenlet | None = None
        peers = {n: address for n, address in settings.addresses.items() if n != settings.name}
        self._network = PeerNetwork(peers, random_source, self.spawn)
        self._messages = PeerMessages(
            lambda: self.store.identity,
            self._network,
            clock,
            self._clock_check,
            self._handle,
        )
        timer = NodeTimer(clock, settings.limits.election_timeout, self._on_timer)
        self._environment = NodeEnvironment(clock, timer, random_source, self._messages.send, log)
        self._environment.on_quarantine = self._restart_as_another_member
        self._timer_loop = self.spawn(timer.run)

    # Start and stop.

    def start(self, initial_configuration: Configuration | None = None) -> None:
        """Starts the node from the disk; restarts it if it runs.

        Args:
            initial_configuration: that of the group that is created now, or was created with this
                member; None if it is unknown, or on the disk.
        """
        self._start(lambda: read_disk(self.store, initial_configuration))

    def _restart_as_another_member(self) -> None:
        gevent.spawn(self._start, lambda: replace_rolled_back_disk(self.store))

    def _start(self, read: Callable[[], StartState]) -> None:
        is_starting = self._starting is not None and not self._starting.ready()
        if self.is_stopping or is_starting:
            return
        self.stop_node()
        self._starting = self.spawn(self._start_node, read)

    def stop_node(self) -> None:
        """Stops the node; the outcome of its pending requests is unknown."""
        environment = self._environment
        if environment.writer is not None:
            environment.writer.stop()
            environment.writer = None
        node = self.node
        self.node = None
        if node is not None and node.role is Role.LEADER:
            node.set_leadership_bar(STOPPING)
            self._note_leadership(node)
        environment.timer.disarm()
        environment.replies.fail_all()

    def _start_node(self, read: Callable[[], StartState]) -> None:
        start = self._read_until_it_succeeds(read)
        for warning in start.warnings:
            self.log.warning(warning.event, cause=warning.cause)
        environment = self._environment
        self.state_machine = LedgerStateMachine(self._on_applied)
        environment.writer = DiskWriter(
            self.store, self._pool, self._on_write_durable, self._on_disk_failed, self.spawn
        )
        node = CoordinatorNode(
            self.store.identity,
            self.settings.limits,
            environment,
            self.state_machine,
            start.persisted,
        )
        self.node = node
        node.set_leadership_bar(self.leadership_bar)
        self.log.info(
            "node started",
            identity=self.store.identity,
            reign=node.term,
            entries=node.log.last_index,
            members=list(node.configuration.voters),
        )
        self.changed.set()

    def _read_until_it_succeeds(self, read: Callable[[], StartState]) -> StartState:
        while True:
            try:
                start: StartState = self._pool.apply(read)
            except OSError as cause:
                failure = str(cause)
            else:
                return start
            # Safe to retry at any time: confirmed writes are read back, others are cut, and nothing
            # is answered before a write of the new start is durable.
            delay_s = self._backoff.next_delay_s()
            self.log.error("disk can't be used", cause=failure, again_s=round(delay_s, 1))
            gevent.sleep(delay_s)

    @property
    def session(self) -> int:
        """The session for this leader's proposals; 0 until it is open."""
        return self._leader_session.number

    @property
    def is_blank(self) -> bool:
        """Whether this member belongs to no group yet, as far as it knows."""
        node = self.node
        return node is not None and not node.configuration.members and not node.log.last_index

    def leave(self) -> None:
        """Stops for good; a leader transfers its leadership first."""
        self.is_stopping = True
        node = self.node
        if node is not None and node.role is Role.LEADER:
            self._transfer_leadership(node)
        self.stop_node()
        self.changed.set()
        self._timer_loop.kill(block=False)
        self._network.stop()

    def _transfer_leadership(self, node: CoordinatorNode) -> None:
        successor = node.most_advanced_voter()
        fields = (node.term, successor)
        for voter in node.configuration.voters:
            if voter != node.identity:
                self._messages.send(voter, peer_codec.LEADER_LEAVING, fields)
        node.set_leadership_bar(STOPPING)
        self._note_leadership(node)
        deadline = self.clock.monotonic() + LEAVE_TIMEOUT_S
        while not self._network.is_idle and self.clock.monotonic() < deadline:
            gevent.sleep(LEAVE_POLL_S)
        gevent.sleep(LEAVE_GRACE_S)

    # Faults.

    def spawn(
        self, loop: Callable[Parameters, None], *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> gevent.Greenlet:
        """Runs a loop in a greenlet; an exception in it stops this member."""
        greenlet = gevent.spawn(loop, *args, **kwargs)
        greenlet.link_exception(lambda failed: self._stop_on_error(loop.__name__, failed.exception))
        return greenlet

    def _stop_on_error(self, origin: str, error: BaseException | None) -> None:
        """Stops this member, as an invariant does not hold or a loop failed."""
        if self.broken.is_set():
            return
        self.log.error(
            "internal error, coordinator stops", by=origin, cause=repr(error), exc_info=error
        )
        self.is_stopping = True
        self.broken.set()
        self.stop_node()

    def _on_disk_failed(self, cause: str) -> None:
        delay_s = self._backoff.next_delay_s()
        self.log.error("disk failed", cause=cause, again_s=round(delay_s, 1))
        self._handle(CoordinatorNode.on_disk_failed, cause)
        gevent.spawn_later(delay_s, self.start)

    # Events of the node.

    def _handle(
        self,
        event: Callable[Concatenate[CoordinatorNode, Parameters], None],
        *args: Parameters.args,
        **kwargs: Parameters.kwargs,
    ) -> None:
        """Calls a method of the node, if it runs; then checks for a change of leadership."""
        node = self.node
        if node is None:
            return
        try:
            event(node, *args, **kwargs)
        except Exception as error:  # noqa: BLE001 - whichever invariant broke, the member stops
            self._stop_on_error(event.__name__, error)
            return
        self._note_leadership(node)

    def _on_timer(self) -> None:
        self._handle(CoordinatorNode.on_timer)

    def _on_write_durable(self, number: int) -> None:
        self._backoff.reset()
        self._handle(CoordinatorNode.on_write_durable, number)

    def _note_leadership(self, node: CoordinatorNode) -> None:
        if self._leader_session.note_leadership(node):
            self.changed.set()

    def _open_session(self) -> Reply:
        return self.request(CoordinatorNode.open_session, OPEN_SESSION_TIMEOUT_S)

    def _on_applied(self, index: int, answer: bytes) -> None:
        node = self.node
        if node is not None and node.role is Role.LEADER and b'"moved"' in answer:
            for unit, *about in json.loads(answer)["moved"]:
                self.log.info("unit changed state", index=index, unit=unit, to=about)
        self.changed.set()

    # Peers.

    def on_peer_messages(self, encoded: Any) -> None:
        """Handles the messages of a post; raises as `PeerMessages.on_post` does."""
        self._messages.on_post(encoded)

    # Clocks.

    def send_clock(self) -> None:
        """Sends this coordinator's wall clock to all members."""
        node = self.node
        if node is None:
            return
        for member in node.configuration.members:
            if member != node.identity:
                self._messages.send(member, peer_codec.CLOCK, ())

    def check_clock(self) -> None:
        """Bars this member from leading while its wall clock is off."""
        node = self.node
        if node is None:
            return
        fault = self._clock_check.find_fault(
            self.clock.wall_ticks(),
            self.clock.now_ticks(),
            self.state_machine.ledger.now,
            len(node.configuration.voters),
        )
        if bool(fault) == bool(self.leadership_bar):
            return
        self.leadership_bar = fault
        if fault:
            self.log.warning("wall clock is off, will not lead", cause=fault)
        else:
            self.log.warning("wall clock is right again, may lead")
        node.set_leadership_bar(fault)
        self._note_leadership(node)

    def catch_up_timer(self) -> None:
        """Handles an overdue timer before a request, in case the process was suspended."""
        if self._environment.timer.is_overdue(self.settings.limits.heartbeat_interval):
            self._on_timer()

    # Requests.

    def request(
        self,
        event: Callable[Concatenate[CoordinatorNode, int, Parameters], None],
        timeout_s: float,
        *args: Parameters.args,
        **kwargs: Parameters.kwargs,
    ) -> Reply:
        """Calls a method of the node with a token and waits for the reply."""
        return self._request(lambda token: self._handle(event, token, *args, **kwargs), timeout_s)

    def read(self, reader: Callable[[], State], timeout_s: float) -> ReadReply[State]:
        """Calls `reader` once the state machine has all committed entries; returns its result."""
        read: list[State] = []

        def on_readable() -> None:
            read.append(reader())

        def ask(token: int) -> None:
            self._handle(CoordinatorNode.read, token)

        reply = self._request(ask, timeout_s, on_readable)
        return ReadReply(reply, read[0] if read else None)

    def _request(
        self,
        ask: Callable[[int], None],
        timeout_s: float,
        on_readable: Callable[[], None] | None = None,
    ) -> Reply:
        if self.node is None:
            return Reply(Outcome.NOT_LEADER)
        self.catch_up_timer()
        replies = self._environment.replies
        token, result = replies.register(on_readable)
        ask(token)
        try:
            reply: Reply = result.get(timeout=timeout_s)
        except gevent.Timeout:
            return Reply(Outcome.UNKNOWN_OUTCOME)
        else:
            return reply
        finally:
            replies.discard(token)

    def propose(
        self, client: str, number: int, entry: Mapping[str, object], timeout_s: float
    ) -> Reply:
        """Proposes an entry for the ledger, stamped with the log's time.

        Args:
            client: the client that proposes; empty for this leader, which never repeats a proposal.
            number: the number of the client's proposal.
            entry: the ledger's entry, without its time.
            timeout_s: seconds after which the outcome counts as unknown.
        """
        node = self.node
        if node is None:
            return Reply(Outcome.NOT_LEADER)
        if node.role is not Role.LEADER:
            return Reply(Outcome.NOT_LEADER, node.leader.encode())
        self.check_clock()
        is_open = self._leader_session.wait(min(timeout_s, SESSION_WAIT_S))
        if not is_open or self.node is not node or not self.session:
            # The session is not open yet, or the term is over by now.
            return Reply(Outcome.CHANGE_IN_PROGRESS)
        time = max(self.clock.wall_ticks(), self.state_machine.ledger.now)
        body = json.dumps({**entry, "at": time}, separators=(",", ":")).encode()
        command_number = self._leader_session.next_command()
        command = LedgerStateMachine.encode_command(client, number, body)
        return self.request(
            CoordinatorNode.propose, timeout_s, self.session, command_number, command
        )
