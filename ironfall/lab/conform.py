"""Whether a server keeps the long-poll protocol as docs/api.md has it: calls it as proxies do, well and badly.

It needs a running server with a zone to join in, and changes nothing there but a few sessions, which it ends. What
can't be brought about from outside (compaction, restarts) is covered by the vectors and the model instead.
"""

import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent

from ironfall.api import codec
from ironfall.api.http import Answer, HttpClient
from ironfall.generated import ironfall_pb2 as pb
from ironfall.publication import Holding, Outcome

SHORT = 300  # ms that a poll is asked to be held where it should be held
BOUND_WITHIN = 15.0


class Fails(Exception):
    """The server does otherwise; the text says what."""


def must(true: Any, what: str) -> None:
    if not true:
        raise Fails(what)


class Peer:
    """A proxy's end, a call at a time."""

    def __init__(
        self, address: tuple[str, int], zone: str, name: str, form: str = codec.PROTOBUF
    ) -> None:
        self.client, self.form, self.zone, self.name = HttpClient(address), form, zone, name

    def post(self, path: str, message: Any, zstd: bool = False) -> Answer:
        body, headers = codec.encode(message, self.form, "zstd" if zstd else "")
        return self.client.call("POST", path, 10, body, {**headers, "Accept": self.form})

    def join(self) -> pb.Joined:
        answer = self.post("/v1/join", pb.Join(proxy=self.name, zone=self.zone, rate=1.0))
        for _ in range(5):
            if answer.status != 503:
                break
            must("retry-after" in answer.headers, "a 503 without Retry-After")
            gevent.sleep(min(3, int(answer.headers["retry-after"])))
            answer = self.post("/v1/join", pb.Join(proxy=self.name, zone=self.zone, rate=1.0))
        must(
            answer.status == 200,
            f"a join is answered {answer.status}: {bytes(answer.body)[:200]!r}",
        )
        joined: pb.Joined = self.read(pb.Joined, answer)
        self.joined = joined
        return joined

    def read(self, kind: type[Any], answer: Answer) -> Any:
        form, encoding = (
            answer.headers.get("content-type", ""),
            answer.headers.get("content-encoding", ""),
        )
        try:
            return codec.decode(kind, answer.body, form, encoding, 1 << 24)
        except codec.Undecodable as wrong:
            raise Fails(str(wrong)) from None

    def poll(
        self,
        version: int,
        wait_ms: int = SHORT,
        epoch: int | None = None,
        session: str | None = None,
        whole: int = 0,
        zstd: bool = False,
    ) -> Answer:
        path = (
            f"/v1/poll?session={self.joined.session if session is None else session}"
            f"&epoch={self.joined.epoch if epoch is None else epoch}&version={version}&wait_ms={wait_ms}"
            f"&whole={whole}"
        )
        headers = {"Accept": self.form, **({"Accept-Encoding": "zstd"} if zstd else {})}
        return self.client.call("GET", path, wait_ms / 1000 + 10, headers=headers)

    def leave(self) -> int:
        return self.post("/v1/leave", pb.Leave(session=self.joined.session)).status

    def follow(self, holding: Holding) -> None:
        """Polls until every class is bound."""
        ends = time.monotonic() + BOUND_WITHIN
        while len(holding.binds) < holding.classes:
            must(time.monotonic() < ends, f"not every class is bound within {BOUND_WITHIN:g}s")
            answer = self.poll(holding.version)
            must(answer.status in (200, 204), f"a poll is answered {answer.status}")
            if answer.status == 200:
                state = codec.unpack_state(self.read(pb.State, answer))
                outcome = holding.apply(state)
                what = f"a state from {state.start} to {state.to} is {outcome.value}"
                must(outcome is Outcome.APPLIED, f"{what} at a proxy that holds {holding.version}")


class Conform:
    """Each `check_` raises `Fails`; its docstring is what it asks."""

    def __init__(self, address: tuple[str, int], zone: str, classes: int) -> None:
        self.address, self.zone, self.classes = address, zone, classes
        self.peers: list[Peer] = []

    def peer(self, form: str = codec.PROTOBUF, name: str = "") -> Peer:
        peer = Peer(self.address, self.zone, name or f"conform-{len(self.peers)}", form)
        self.peers.append(peer)
        peer.join()
        return peer

    def bound(self, form: str = codec.PROTOBUF) -> tuple[Peer, Holding]:
        peer, holding = self.peer(form), Holding(self.classes, {})
        holding.join(peer.joined.epoch, peer.joined.version)
        peer.follow(holding)
        return peer, holding

    def checks(self) -> Iterator[tuple[str, Callable[[], None]]]:
        for name in sorted(dir(self)):
            if name.startswith("check_"):
                yield name[6:].replace("_", " "), getattr(self, name)

    def run(self) -> list[tuple[str, str]]:
        """Each check with what was otherwise; nothing where it is kept."""
        found = []
        for name, check in self.checks():
            try:
                check()
                found.append((name, ""))
            except (Fails, OSError) as wrong:
                found.append((name, str(wrong) or type(wrong).__name__))
            finally:
                for peer in self.peers:
                    peer.client.close()
        return found

    def check_a_joiner_is_led_to_a_bound_state_by_deltas_that_fit(self) -> None:
        """Every state starts from the version held, and its checksum is that of what is held after it."""
        peer, holding = self.bound()
        must(
            all(holding.lines(kind) for kind in range(self.classes)),
            "a class is bound to a table without lines",
        )
        peer.leave()

    def check_json_says_what_protobuf_says(self) -> None:
        """A whole state is the same in both forms."""
        held = []
        for form in (codec.PROTOBUF, codec.JSON):
            peer, holding = self.bound(form)
            held.append([sorted(holding.lines(kind)) for kind in range(self.classes)])
            peer.leave()
        must(
            held[0] == held[1], "two proxies of one zone hold other hosts by JSON than by protobuf"
        )

    def check_a_poll_with_nothing_new_is_held_and_ends_with_204(self) -> None:
        """Held near to the time asked, and not longer."""
        peer, holding = self.bound()
        for _ in range(20):
            begun = time.monotonic()
            answer = peer.poll(holding.version, 600)
            took = time.monotonic() - begun
            if answer.status == 204:
                must(
                    took > 0.3,
                    f"a poll that asked for 600 ms ended with 204 after {took * 1000:.0f} ms",
                )
                must(not answer.body, "a 204 with a body")
                peer.leave()
                return
            holding.apply(codec.unpack_state(peer.read(pb.State, answer)))
        raise Fails("twenty polls in a row were told something new")

    def check_a_second_poll_of_a_session_lets_the_first_go(self) -> None:
        """The first is answered at once, with 204."""
        peer, holding = self.bound()
        other = Peer(self.address, self.zone, peer.name)
        other.joined = peer.joined
        first = gevent.spawn(peer.poll, holding.version, 5000)
        gevent.sleep(0.2)
        second = gevent.spawn(other.poll, holding.version, 300)
        with gevent.Timeout(3, False):
            first.join()
        must(first.ready(), "the first poll is still held")
        must(
            first.value is not None and first.value.status in (200, 204),
            "the first poll is not let go with 204",
        )
        second.join(5)
        peer.leave()

    def check_a_version_never_published_is_no_receipt_and_brings_a_whole_state(self) -> None:
        """A poll from the future is answered by a whole state."""
        peer, holding = self.bound()
        answer = peer.poll(holding.version + 1000, 3000)
        must(answer.status == 200, f"a version from the future is answered {answer.status}")
        must(
            peer.read(pb.State, answer).start == -1,
            "a version from the future is answered by a delta",
        )
        peer.leave()

    def check_a_whole_state_is_told_when_asked_for(self) -> None:
        """And leads to what is held by deltas."""
        peer, holding = self.bound()
        answer = peer.poll(holding.version, 3000, whole=1)
        must(answer.status == 200, f"whole=1 is answered {answer.status}")
        state = codec.unpack_state(peer.read(pb.State, answer))
        must(state.whole, "whole=1 is answered by a delta")
        fresh = Holding(self.classes, {})
        fresh.join(peer.joined.epoch, 0)
        must(fresh.apply(state) is Outcome.APPLIED, "a whole state does not have its checksum")
        if fresh.version == holding.version:
            must(
                fresh.sum == holding.sum,
                "whole state and deltas lead to other tables at one version",
            )
        peer.leave()

    def check_another_epoch_is_told_to_join_again(self) -> None:
        """410, whether earlier or later."""
        peer = self.peer()
        for epoch in (peer.joined.epoch - 1, peer.joined.epoch + 1, 0):
            status = peer.poll(peer.joined.version, epoch=epoch).status
            must(status == 410, f"a poll of epoch {epoch} is answered {status}, not 410")
        peer.leave()

    def check_a_session_that_ended_is_told_to_join_again(self) -> None:
        """410 after leaving, for one never opened, and for one whose name joined anew."""
        peer = self.peer()
        old = peer.joined
        again = self.peer(name=peer.name)
        must(again.joined.session != old.session, "a name that joins anew gets its old session")
        must(peer.poll(0).status == 410, "the session of a name that joined anew still polls")
        must(again.leave() == 204, "leaving is not answered 204")
        must(again.poll(0).status == 410, "a session that left still polls")
        must(
            again.poll(0, session="never-opened").status == 410,
            "an unknown session is not answered 410",
        )

    def check_sums_are_taken_once_and_nonsense_in_them_harms_nobody(self) -> None:
        """204 also for a number that came already and for hosts that are not known."""
        peer = self.peer()
        sums = pb.Sums(session=peer.joined.session, number=1, covers_ms=1000)
        sums.met.append(pb.Met(host="nobody@127.0.0.1:1", tries=5, failed=9))
        for _ in range(2):
            must(peer.post("/v1/sums", sums).status == 204, "sums are not answered 204")
        must(peer.post("/v1/sums", sums, True).status == 204, "sums in zstd are not answered 204")
        peer.leave()

    def check_what_is_malformed_is_refused_by_its_status(self) -> None:
        """400 for no message, 404, 405, and the connection goes on."""
        client = HttpClient(self.address)
        kinds = {"Content-Type": codec.PROTOBUF}
        for what, method, path, body, headers, status in (
            ("a body that is no message", "POST", "/v1/join", b"\xff\xff\xff", kinds, 400),
            ("JSON that is none", "POST", "/v1/join", b"{", {"Content-Type": codec.JSON}, 400),
            (
                "an unknown zone",
                "POST",
                "/v1/join",
                b'{"proxy": "x", "zone": "nowhere at all", "rate": 1}',
                {"Content-Type": codec.JSON},
                400,
            ),
            ("an unknown path", "GET", "/v1/nothing", b"", {}, 404),
            ("a wrong method", "GET", "/v1/join", b"", {}, 405),
        ):
            answer = client.call(method, path, 10, body, headers)
            must(answer.status == status, f"{what} is answered {answer.status}, not {status}")
        client.close()

    def check_compression_is_used_only_where_it_was_asked_for(self) -> None:
        """And what is compressed unpacks to the same."""
        # A proxy each: none is owed two whole states in a row.
        (peer, holding), (other, held) = self.bound(), self.bound()
        plain = peer.poll(holding.version, 3000, whole=1)
        packed = other.poll(held.version, 3000, whole=1, zstd=True)
        must(plain.status == packed.status == 200, "whole=1 is not answered 200")
        must(
            "content-encoding" not in plain.headers,
            "an answer is compressed though nobody asked for it",
        )
        states = [codec.unpack_state(peer.read(pb.State, answer)) for answer in (plain, packed)]
        if states[0].to == states[1].to:
            must(states[0].checksum == states[1].checksum, "compressed and plain differ")
        peer.leave()
        other.leave()
