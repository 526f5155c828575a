"""The conformance suite against this director, and against servers that each break one rule."""

import pytest
import zstandard

from ironfall.api import codec
from ironfall.api.http import Answer, Refused
from ironfall.generated import ironfall_pb2 as pb
from ironfall.lab.conform import Conform, Fails
from tests.rig import Rig


def spoil_state(**fields):
    def spoil(request, answer):
        if request.path == "/v1/poll" and answer.status == 200:
            form, encoding = (
                answer.headers["Content-Type"],
                answer.headers.get("Content-Encoding", ""),
            )
            state = codec.decode(pb.State, answer.body, form, encoding, 1 << 24)
            for name, value in fields.items():
                setattr(state, name, value)
            return Answer(200, *codec.encode(state, form, ""))
        return answer

    return spoil


def always_packed(request, answer):
    if (
        request.path == "/v1/poll"
        and answer.status == 200
        and "Content-Encoding" not in answer.headers
    ):
        body = zstandard.ZstdCompressor().compress(answer.body)
        return Answer(200, body, {**answer.headers, "Content-Encoding": "zstd"})
    return answer


def wrong_status(was, now):
    def spoil(_request, answer):
        return Answer(now, b"") if answer.status == was else answer

    return spoil


WRONG = {
    "a joiner is led to a bound state by deltas that fit": spoil_state(checksum=1),
    "a whole state is told when asked for": spoil_state(start=0),
    "another epoch is told to join again": wrong_status(410, 204),
    "what is malformed is refused by its status": wrong_status(400, 500),
    "compression is used only where it was asked for": always_packed,
    "sums are taken once and nonsense in them harms nobody": wrong_status(204, 200),
}


def spoiled(rig, spoil):
    handle = rig.program.server.handle

    def wrapped(request):
        try:
            answer = handle(request)
        except Refused as refused:
            answer = Answer(refused.status, refused.reason.encode())
        return spoil(request, answer)

    rig.program.server.handle = wrapped


def test_our_director_keeps_the_protocol():
    with Rig(hosts=6) as rig:
        found = Conform(rig.address, "hill", 3).run()
        assert len(found) == 11 and [f for f in found if f[1]] == []


@pytest.mark.parametrize("what", WRONG)
def test_a_server_that_is_wrong_is_found_out(what):
    with Rig(hosts=6) as rig:
        spoiled(rig, WRONG[what])
        suite = Conform(rig.address, "hill", 3)
        (check,) = (check for name, check in suite.checks() if name == what)
        with pytest.raises(Fails):
            check()
