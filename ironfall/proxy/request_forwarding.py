"""Forwards requests: admission, attempts at hosts within the deadline, and retries."""

from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult

from ironfall.api.exchange import Link, read_gauges
from ironfall.decisions.interface import RequestClass
from ironfall.generated import ironfall_pb2 as pb
from ironfall.proxy.connection_pool import ConnectionPool
from ironfall.proxy.environment import TICKS_PER_MS, TICKS_PER_SECOND, Environment
from ironfall.proxy.load_balancing import AttemptHistory, LoadBalancer, RetryPolicy, may_retry
from ironfall.proxy.load_reports import LoadSums
from ironfall.terms import Terms

MIN_ATTEMPT_TIMEOUT_S = 0.001


@dataclass(slots=True)
class RequestProgress:
    """The attempts of a request so far. Times are in ticks.

    Attributes:
        deadline: When the request is given up.
        attempt_started: When the present attempt started.
        tried_hosts: The hosts that were attempted.
        first_possible_run: When the first attempt that may have run started; 0 if none may.
        never_ran: Whether no attempt can have run.
    """

    deadline: int
    attempt_started: int
    tried_hosts: set[str] = field(default_factory=set)
    first_possible_run: int = 0
    never_ran: bool = True

    def on_attempt_ended(self, outcome: int, now: int) -> None:
        """Records an attempt that did not succeed."""
        if outcome == pb.FAILED:
            self.never_ran = False
            self.first_possible_run = self.first_possible_run or self.attempt_started
        self.attempt_started = now

    def history(self, margin: int) -> AttemptHistory:
        """Returns what `may_retry` needs to know."""
        since_first = 0
        if self.first_possible_run:
            since_first = self.attempt_started - self.first_possible_run
        return AttemptHistory(len(self.tried_hosts), self.never_ran, since_first, margin)

    def failure(self, cause: str) -> pb.Answer:
        """Returns the response to a request that is not attempted any more."""
        outcome = pb.REFUSED if self.never_ran else pb.FAILED
        return pb.Answer(outcome=outcome, cause=cause)


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; the defaults are those of a cancelled one."""

    outcome: int = pb.FAILED
    cause: str = "given up by the client"
    gauges: dict[str, float] = field(default_factory=dict)


class RequestForwarder:
    """Forwards requests to hosts."""

    def __init__(
        self,
        settings: Terms,
        balancer: LoadBalancer,
        pool: ConnectionPool,
        load: LoadSums,
        environment: Environment,
    ) -> None:
        self.settings = settings
        self.balancer = balancer
        self.pool = pool
        self.load = load
        self.environment = environment

    def forward(self, request: pb.Exchange) -> pb.Answer:
        """Returns the response to a request, whose fields are changed meanwhile.

        Blocks until a host has answered, no retry is allowed, or the deadline has passed.
        """
        admitted, retry_policy = self.balancer.tables.admitted(
            request.kind, self.settings.proxy.usual_tries
        )
        if admitted < 1 and self.environment.random_source.random() >= admitted:
            return pb.Answer(outcome=pb.REFUSED, cause="not let in")
        return self._forward_admitted(request, retry_policy)

    def _forward_admitted(self, request: pb.Exchange, retry_policy: int) -> pb.Answer:
        request_class = self.settings.service.classes[request.kind]
        now = self.environment.clock()
        time_left = min(request.left_ms * TICKS_PER_MS, request_class.deadline)
        progress = RequestProgress(deadline=now + time_left, attempt_started=now)
        while True:
            host = self.balancer.pick(now, request.kind, progress.tried_hosts)
            if host is None and not progress.tried_hosts:
                self.environment.log_event("bare", kind=request.kind)
                return progress.failure("no host to pick")
            time_left = progress.deadline - now
            if host is None or time_left <= 0:
                return progress.failure("no time or host left")
            progress.tried_hosts.add(host)
            timeout = self._attempt_timeout(request_class, retry_policy, progress, time_left)
            result = self._attempt(host, request, len(progress.tried_hosts), timeout)
            if result.outcome == pb.FULFILLED:
                return pb.Answer(outcome=pb.FULFILLED)
            now = self.environment.clock()
            progress.on_attempt_ended(result.outcome, now)
            history = progress.history(margin=self.settings.proxy.connect_time)
            if not may_retry(request_class, retry_policy, history):
                return progress.failure(result.cause)

    def _attempt_timeout(
        self,
        request_class: RequestClass,
        retry_policy: int,
        progress: RequestProgress,
        time_left: int,
    ) -> int:
        """Returns the ticks to wait for an attempt: less than `time_left` if a retry may follow."""
        if retry_policy < RetryPolicy.ONE:
            return time_left
        history = AttemptHistory(
            len(progress.tried_hosts), never_ran=False, since_first=0, margin=0
        )
        if not may_retry(request_class, retry_policy, history):
            return time_left
        share = self.settings.proxy.try_share
        return min(time_left, round(share * request_class.latency_objective))

    def _attempt(
        self, host: str, request: pb.Exchange, attempt: int, timeout: int
    ) -> AttemptResult:
        """Makes one attempt, which is counted also if the greenlet is killed meanwhile."""
        started = self.environment.clock()
        result = AttemptResult()
        try:
            connection = self.pool.acquire(host)
            if connection is None:
                result.outcome = pb.REFUSED
                result.cause = "no connection"
                return result
            self.environment.log_event(
                "try", token=request.token, kind=request.kind, host=host, attempt=attempt
            )
            # The client's message is reused: it is serialized at once.
            request.attempt = attempt
            request.left_ms = max(1, timeout // TICKS_PER_MS)
            request.host = host
            self._send_and_wait(connection, request, started + timeout, result)
        finally:
            now = self.environment.clock()
            succeeded = result.outcome == pb.FULFILLED
            self.load.on_attempt_ended(host, succeeded, now - started, result.gauges)
            self.balancer.on_attempt_ended(now, host, succeeded)
        return result

    def _send_and_wait(
        self, connection: Link, request: pb.Exchange, deadline: int, result: AttemptResult
    ) -> None:
        """Sends the request and fills in the result; cancels it at the host if it is abandoned."""
        response: AsyncResult = connection.send("exchange", request)
        number = connection.last
        has_ended = False
        try:
            timeout_s = (deadline - self.environment.clock()) / TICKS_PER_SECOND
            answer = response.get(timeout=max(MIN_ATTEMPT_TIMEOUT_S, timeout_s))
            has_ended = True
        except gevent.Timeout:
            result.cause = "no answer in time"
            return
        finally:
            if not has_ended:
                connection.cancel(number)
        if answer is None:
            result.cause = "connection lost"
            return
        result.outcome = answer.outcome
        result.cause = answer.cause
        if answer.HasField("gauges"):
            result.gauges = read_gauges(answer.gauges)
