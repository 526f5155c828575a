"""The relays' own parts: messages out of bytes as they come, and which of them gets what."""

import random

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.api.http import Answer, Bounds, HttpClient, HttpServer
from ironfall.lab import history
from ironfall.lab.between import (
    PASSES,
    TWICE,
    VANISHES,
    Between,
    Faults,
    Message,
    between,
    messages,
)
from tests.keepers import until

BODIES = st.lists(st.binary(max_size=300), min_size=1, max_size=5)


@settings(max_examples=100, deadline=None)
@given(BODIES, st.randoms(use_true_random=False))
def test_messages_are_whole_however_their_bytes_come(bodies, chance):
    whole = [
        b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body for body in bodies
    ]
    left = bytearray(b"".join(whole) + whole[0][:-1])  # the last is cut short, and is none

    def recv(_most):
        size = chance.randint(1, 60)
        more = bytes(left[:size])
        del left[:size]
        return more

    assert [(raw, body) for raw, _, body in messages(recv)] == list(zip(whole, bodies, strict=True))


@pytest.mark.parametrize(
    "head", [b"x" * 70_000, b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"]
)
def test_what_is_over_its_bound_is_no_message(head):
    with pytest.raises(ValueError, match="over its bound"):
        next(messages(lambda most: head))


def test_a_fault_comes_at_its_step_and_a_cut_goes_one_way():
    faults, acted = Faults(random.Random(1)), []
    there, back = Message("a", "b", "POST / HTTP/1.1"), Message("b", "a", "POST / HTTP/1.1")
    done = faults.at(between("a", "b"), TWICE, acted.append, nth=2, times=2)
    assert [faults.fate(there), faults.fate(back), done.is_set()] == [PASSES, PASSES, False]
    assert (
        [faults.fate(there) for _ in range(3)] == [TWICE, TWICE, PASSES]
        and acted == [there]
        and done.is_set()
    )
    faults.cut("a", "b")
    assert (faults.fate(there), faults.fate(back)) == (VANISHES, PASSES)
    faults.mend()
    assert faults.fate(there) is PASSES
    assert faults.spoil(b"abc" * 9, 3) != b"abc" * 9


def test_what_stands_still_goes_on_whole():
    server = HttpServer(("127.0.0.1", 0), Bounds(9, 4096, 2, 60, 2), lambda request: Answer(204))
    server.start()
    relays = Between(Faults(random.Random(1)))
    client = HttpClient(relays.way("a", "b", ("127.0.0.1", server.port)))
    relays.still()
    asked = gevent.spawn(client.call, "GET", "/", 10.0)
    until(lambda: relays.faults.counts[PASSES])
    assert not asked.ready()
    relays.still(False)
    assert asked.get(timeout=10.0).status == 204
    relays.stop()
    server.stop()


def test_what_was_told_and_is_not_there_is_found():
    entry = {"k": "tick", "at": 7}
    one = history.Applied(3, "me", 1, entry, {"ok": True})
    told = ("me", 1, {"k": "tick"}, "", {"index": 3, "answer": {"ok": True}})
    history.judge([one], [told])
    twice = [one, history.Applied(4, "me", 1, entry, {"ok": True})]
    for wrong, heard in (
        ([], told),
        (twice, told),
        ([one], ("me", 1, {"k": "tick"}, "refused", {})),
        ([one], (*told[:4], {"index": 4, "answer": {"ok": True}})),
    ):
        with pytest.raises(history.Wrong):
            history.judge(wrong, [heard])
