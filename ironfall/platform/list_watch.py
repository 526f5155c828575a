"""Watches discovery's host list by long polls to the director's discovery agent.

The polls are short, so that an agent that stops answering is noticed soon.

The watch may miss changes. So the complete list is requested from time to time (a resync), which is
cheap for the agent: any difference from the current list is a change that the watch did not
deliver. A revision that stays below the current one for longer than the agent may lag means that
discovery's list was permanently reset to an older one.
"""

import json
import time
from collections.abc import Callable
from typing import Any

import gevent

from ironfall.api.http import HttpClient
from ironfall.platform.host_list import HostList, HostListError, HostListUpdate
from ironfall.platform.runtime import Runtime
from ironfall.platform.sockets import Address, Backoff

POLL_WAIT_S = 1.0  # how long the agent may hold a poll
# Time allowed for an answer beyond the poll's wait; doubled up to `MAX_LAG_S` while answers arrive
# too slowly.
ANSWER_MARGIN_S = 0.7
MAX_LIST_BYTES = 8 << 20
DIAL_TIMEOUT_S = 0.5
# How far the agent may lag: the protocol considers every change delivered after this time.
MAX_LAG_S = 6.0
# Mean delay after an early answer without changes: below the 0.2 s after which the agent ends an
# idle watch.
IDLE_DELAY_S = 0.05
MIN_POLL_INTERVAL_S = 0.01
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.5
MS_PER_SECOND = 1000
HTTP_OK = 200


class HostListWatch:
    """Polls the agent for one director.

    Attributes:
        client: The connection to the current agent.
        revision: The revision that was applied last; -1 before the first.
        is_synced: Whether polls may request only the changes since `revision`; if not, the next one
            requests the complete list.
        on_update: Called with each update, except a resync that finds no change.
    """

    def __init__(
        self,
        address: Address,
        hosts: HostList,
        on_update: Callable[[HostListUpdate], None],
        runtime: Runtime,
        max_list_bytes: int = MAX_LIST_BYTES,
    ) -> None:
        self._hosts = hosts
        self.on_update = on_update
        self._runtime = runtime
        self._max_list_bytes = max_list_bytes
        self.revision = -1
        self.is_synced = False
        self._last_resync = 0.0  # monotonic seconds
        self._answer_margin_s = ANSWER_MARGIN_S
        # Monotonic seconds since when the agent has delivered only older revisions.
        self._older_since: float | None = None
        self.client = HttpClient(address, DIAL_TIMEOUT_S, max_list_bytes)

    def run(self) -> None:
        """Polls until the greenlet is killed."""
        backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S, self._runtime.random)
        is_failing = False
        while True:
            client = self.client
            try:
                self._poll(client)
                backoff.reset()
                is_failing = False
            except (OSError, HostListError) as error:
                self._on_failed_poll(client, error)
                if not is_failing and client is self.client:
                    is_failing = True
                    cause = f"{type(error).__name__}: {error}"
                    self._runtime.log.info("host list poll failed; retrying", cause=cause)
                # Retrying is always safe, because each answer has a revision. There is no limit to
                # the retries: a director is of no use without a host list.
                backoff.wait()

    def change_address(self, address: Address) -> None:
        """Switches to another agent, starting with a request for its complete list."""
        old_client = self.client
        self.client = HttpClient(address, DIAL_TIMEOUT_S, self._max_list_bytes)
        self.is_synced = False
        self._older_since = None
        self._answer_margin_s = ANSWER_MARGIN_S
        old_client.end()

    def apply(self, answer: Any) -> HostListUpdate | None:
        """Applies a decoded answer; returns `None` if it is not complete and names no host.

        Raises:
            HostListError: The answer is not a host list.
        """
        unreadable_before = self._hosts.unreadable_count
        update = self._hosts.apply(self._runtime.now(), time.time() * MS_PER_SECOND, answer)
        unreadable = self._hosts.unreadable_count - unreadable_before
        if unreadable:
            self._runtime.count("entries passed over", unreadable)
        if not update.hosts and not update.is_complete:
            return None
        return update

    def _on_failed_poll(self, client: HttpClient, error: Exception) -> None:
        if isinstance(error, TimeoutError):
            is_slow = client.received > 0
            longer_margin_s = min(MAX_LAG_S, 2 * self._answer_margin_s)
            self._answer_margin_s = longer_margin_s if is_slow else ANSWER_MARGIN_S
        client.close()
        self._runtime.count("list failures")

    def _poll(self, client: HttpClient) -> None:
        started = time.monotonic()
        is_resync = not self.is_synced or started - self._last_resync >= MAX_LAG_S
        path = "/v1/servers"
        if not is_resync:
            path += f"?index={self.revision}&wait={POLL_WAIT_S * MS_PER_SECOND:.0f}"
        response = client.call("GET", path, POLL_WAIT_S + self._answer_margin_s)
        if client is not self.client:
            # The address has changed in the meantime: the new agent's complete list is needed.
            client.close()
            return
        if response.status != HTTP_OK:
            raise HostListError(f"discovery answered HTTP {response.status}")
        answer, revision = _decode(response.body)
        if is_resync:
            self._last_resync = started
        has_changes = self._handle_answer(answer, revision, started)
        self._pace(time.monotonic() - started, has_changes or is_resync)

    def _pace(self, elapsed_s: float, was_useful: bool) -> None:
        """Waits before the next poll, so that an agent that never holds one is not flooded."""
        if not was_useful and elapsed_s < POLL_WAIT_S / 2:
            gevent.sleep(IDLE_DELAY_S * (0.5 + self._runtime.random.random()))
        else:
            gevent.sleep(max(0.0, MIN_POLL_INTERVAL_S - elapsed_s))

    def _handle_answer(self, answer: Any, revision: int, now: float) -> bool:
        """Applies an answer; returns whether it held a change or a newer revision."""
        is_complete = answer.get("complete") is True
        if revision < self.revision and not self._accept_older(revision, is_complete, now):
            return False
        is_newer = revision != self.revision
        listings_before = self._hosts.listings()
        unreadable_before = self._hosts.unreadable_count
        update = self.apply(answer)
        was_synced = self.is_synced
        self.revision = revision
        self.is_synced = True
        self._older_since = None
        if self._hosts.unreadable_count != unreadable_before and not is_complete:
            self._last_resync = 0.0  # resync now: the entry may be readable in the complete list
        if update is None:
            return is_newer
        if was_synced and is_complete:
            if listings_before == self._hosts.listings():
                return is_newer  # no host differs: the decision engine need not run
            if not is_newer:
                self._runtime.count("changes found by resync")
        self.on_update(update)
        return True

    def _accept_older(self, revision: int, is_complete: bool, now: float) -> bool:
        """Returns whether to apply a revision below the current one, as the list was reset."""
        self._runtime.count("older lists")
        if self._older_since is None:
            self._older_since = now
        # While the agent may merely lag, it is polled for changes since the current revision.
        self.is_synced = now - self._older_since < MAX_LAG_S
        if self.is_synced or not is_complete:
            return False
        self._runtime.log.warning(
            "host list reset; applying the older list", held=self.revision, told=revision
        )
        return True


def _decode(body: bytes | bytearray) -> tuple[dict[str, Any], int]:
    """Decodes an answer; returns it and its revision."""
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise HostListError(f"not JSON: {error}") from None
    revision = answer.get("revision") if isinstance(answer, dict) else None
    if not isinstance(revision, int) or revision < 0:
        raise HostListError("not a host list: no revision, or a negative one")
    return answer, revision
