"""The watch of the registry's host list."""

import json
import random
from http import HTTPStatus

import gevent
from gevent.event import Event

from ironfall.api.http import HttpClient
from ironfall.api.registry import BadList
from ironfall.decisions.events import EventKind
from ironfall.director.fleet_member import FleetMember
from ironfall.director.long_poll_director import LongPollDirector
from ironfall.files.service import Files

LONG_POLL_SECONDS = 10.0
"""How long the registry holds a request while the list does not change."""

ANSWER_MARGIN_SECONDS = 2
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
NO_VERSION = -1


class HostListWatch:
    """Long-polls the registry for the host list; each new list is queued as an event."""

    def __init__(
        self,
        director: LongPollDirector,
        name: str,
        rng: random.Random,
        files: Files | None,
        member: FleetMember | None,
    ) -> None:
        """`name`: the director's; `files`: merges the list with the operators' files."""
        self.director = director
        self._name = name
        self._rng = rng
        self._files = files
        self._member = member
        self._requested = Event()
        self._version = NO_VERSION
        self._retry_seconds = MIN_RETRY_SECONDS

    def request(self) -> None:
        """Starts the watch, or resumes it after a failure."""
        self._requested.set()

    def run(self) -> None:
        """Watches until the director stops."""
        client = HttpClient(self.director.terms.registry)
        while not self.director.stopping:
            self._requested.wait()
            if self.director.service.requests_host_list:
                self._requested.clear()
            self._watch(client)

    def _watch(self, client: HttpClient) -> None:
        """Watches until the director stops, or until a failure if the engine orders the retry."""
        director = self.director
        while not director.stopping:
            try:
                self._version = self._fetch(client)
                self._retry_seconds = MIN_RETRY_SECONDS
            except (OSError, BadList) as error:
                director.count("list failures")
                director.log.warning("host list request failed, retrying", cause=str(error))
                if director.service.requests_host_list:
                    director.put(EventKind.HOST_LIST_FAILED)
                    return
                # Retried without limit, as a director needs the list. Requests are idempotent.
                gevent.sleep(self._retry_seconds * (0.5 + self._rng.random()))
                self._retry_seconds = min(MAX_RETRY_SECONDS, 2 * self._retry_seconds)

    def _fetch(self, client: HttpClient) -> int:
        """Requests a list newer than the stored version; returns the new stored version.

        Raises:
            BadList: The answer is not a valid list.
            OSError: There is no answer.
        """
        wait_ms = f"{LONG_POLL_SECONDS * 1000:.0f}"
        path = f"/v1/list?after={self._version}&wait_ms={wait_ms}&who={self._name}"
        answer = client.call("GET", path, LONG_POLL_SECONDS + ANSWER_MARGIN_SECONDS)
        if answer.status == HTTPStatus.NO_CONTENT:
            return self._version
        if answer.status != HTTPStatus.OK:
            raise BadList(f"the registry answered with status {answer.status}")
        try:
            fields = json.loads(answer.body)
            version = int(fields["version"])
            is_complete = bool(fields["whole"])
            rows = fields["hosts"]
        except (ValueError, KeyError, TypeError) as error:
            raise BadList(f"invalid host list: {type(error).__name__} {error}") from None
        if self._files:
            self._files.registry(rows, is_complete)
        else:
            director = self.director
            hosts = director.host_list.read(director.clock.now(), rows, is_complete)
            # While the queue is full, the registry accumulates further changes.
            director.put_blocking(EventKind.HOST_LIST, hosts, is_complete, True)
        if self._member:
            markers = self._member.status_reporter.markers
            markers.on_host_list(self.director.clock.now(), rows, is_complete)
        return version
