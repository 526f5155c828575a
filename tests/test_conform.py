"""The conformance suite against this director, and against servers that each break one rule."""

import pytest
import zstandard

from ironfall.api import codec
from ironfall.api.http import Answer, Refused
from ironfall.generated import ironfall_pb2 as pb
from ironfall.lab.conform import Conform, Fails
from tests.rig import Rig


def with_state_fields(**fields):
    def alter(request, answer):
        if request.path == "/v1/poll" and answer.status == 200:
            content_type, encoding = (
                answer.headers["Content-Type"],
                answer.headers.get("Content-Encoding", ""),
            )
            state = codec.decode(pb.State, answer.body, content_type, encoding, 1 << 24)
            for name, value in fields.items():
                setattr(state, name, value)
            return Answer(200, *codec.encode(state, content_type, ""))
        return answer

    return alter


def always_compressed(request, answer):
    if (
        request.path == "/v1/poll"
        and answer.status == 200
        and "Content-Encoding" not in answer.headers
    ):
        body = zstandard.ZstdCompressor().compress(answer.body)
        return Answer(200, body, {**answer.headers, "Content-Encoding": "zstd"})
    return answer


def wrong_status(expected, actual):
    def alter(_request, answer):
        return Answer(actual, b"") if answer.status == expected else answer

    return alter


FAULTS = {
    "a joiner is led to a bound state by deltas that fit": with_state_fields(checksum=1),
    "a whole state is told when asked for": with_state_fields(start=0),
    "another epoch is told to join again": wrong_status(410, 204),
    "what is malformed is refused by its status": wrong_status(400, 500),
    "compression is used only where it was asked for": always_compressed,
    "sums are taken once and nonsense in them harms nobody": wrong_status(204, 200),
}


def install_fault(rig, alter):
    handle = rig.program.server.handle

    def wrapped(request):
        try:
            answer = handle(request)
        except Refused as refused:
            answer = Answer(refused.status, refused.reason.encode())
        return alter(request, answer)

    rig.program.server.handle = wrapped


def test_director_conforms_to_the_protocol():
    with Rig(hosts=6) as rig:
        results = Conform(rig.address, "hill", 3).run()
        assert len(results) == 11 and [result for result in results if result[1]] == []


@pytest.mark.parametrize("name", FAULTS)
def test_a_server_with_one_fault_fails_its_check(name):
    with Rig(hosts=6) as rig:
        install_fault(rig, FAULTS[name])
        suite = Conform(rig.address, "hill", 3)
        (check,) = (check for title, check in suite.checks() if title == name)
        with pytest.raises(Fails):
            check()
