"""The Graphite and collectd codecs: values survive a round trip, and any input decodes or raises `Malformed`."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.metrics import collectd
from ironfall.metrics.collectd import ValueList, decode, encode, encrypt, sign
from ironfall.metrics.graphite import LINE_MOST, Lines, format_line, parse_line
from ironfall.metrics.point import Malformed, Point

PASSWORD_OF = {"ops": "a secret", "other": "another"}.get
paths = st.from_regex(r"\A[a-z][a-z0-9_.-]{0,30}\Z")
finite = st.floats(allow_nan=False, allow_infinity=False)
tags = st.dictionaries(paths, paths, max_size=3).map(lambda d: tuple(sorted(d.items())))
many_examples = settings(max_examples=300, deadline=None, derandomize=True)


@many_examples
@given(st.builds(Point, paths, finite, st.integers(1, 2**33).map(float), tags))
def test_graphite_lines_round_trip(point):
    assert parse_line(format_line(point).rstrip(b"\n")) == point


@many_examples
@given(st.lists(st.binary(max_size=30), max_size=20), st.integers(1, 7))
def test_lines_do_not_depend_on_how_the_stream_is_split(chunks, size):
    whole = b"".join(chunks) + b"\n"
    lines = [line for line in Lines().feed(whole)]
    splitter, split_lines = Lines(), []
    for at in range(0, len(whole), size):
        split_lines += splitter.feed(whole[at : at + size])
    assert split_lines == lines
    for line in lines:
        try:
            parse_line(line)
        except Malformed as wrong:
            assert str(wrong)


def test_an_endless_line_is_reported_once_and_its_buffer_is_bounded():
    lines, results = Lines(), []
    for _ in range(1000):
        results += lines.feed(b"x" * 1000)
        assert len(lines.held) <= LINE_MOST + 1000
    results += lines.feed(b"\ngood 1 2\n")
    assert [isinstance(t, Malformed) for t in results] == [True, False] and results[
        1
    ] == b"good 1 2"


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"a",
        b"a b c",
        b"a nan 1",
        b"a inf 1",
        b"a 1 -5",
        b"a 1 2 3",
        b"a;b 1 2",
        b"a;=c 1 2",
        b"\xff 1 2",
        b"a 1_0 2",
        b"a 1 1e400",
        b"(lp0 1 2",
    ],
)
def test_an_invalid_graphite_line_is_refused(line):
    with pytest.raises(Malformed):
        parse_line(line)


texts = st.text(alphabet="abcz09._-", max_size=20)
values = st.one_of(
    st.tuples(st.just(collectd.GAUGE), st.floats(allow_nan=False)),
    st.tuples(st.sampled_from([collectd.COUNTER, collectd.ABSOLUTE]), st.integers(0, 2**64 - 1)),
    st.tuples(st.just(collectd.DERIVE), st.integers(-(2**63), 2**63 - 1)),
)
lists = st.builds(
    ValueList,
    texts,
    texts,
    texts,
    texts,
    texts,
    st.integers(0, 2**33).map(lambda n: n / 8),
    st.integers(0, 80).map(lambda n: n / 8),
    st.lists(values, min_size=1, max_size=4),
)


@many_examples
@given(st.lists(lists, max_size=20))
def test_collectd_packets_round_trip_plain_signed_and_encrypted(sent):
    packets = encode(sent)
    assert all(len(p) <= 1452 for p in packets)
    assert [one for p in packets for one in decode(p)] == sent
    assert [
        one for p in packets for one in decode(sign(p, "ops", "a secret"), PASSWORD_OF, "signed")
    ] == sent
    for n, packet in enumerate(packets):
        encrypted = encrypt(packet, "ops", "a secret", n.to_bytes(16, "big"))
        assert decode(encrypted, PASSWORD_OF, "encrypted") == decode(packet)


@settings(max_examples=1500, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_any_packet_decodes_or_is_malformed(packet):
    for prefix in (b"", b"\x02\x00\x00", b"\x02\x10\x00", b"\x00\x06\x00"):
        try:
            decode(prefix + packet, PASSWORD_OF)
        except Malformed as wrong:
            assert str(wrong)


@many_examples
@given(st.data())
def test_a_changed_bit_of_a_signed_or_encrypted_packet_is_refused(data):
    packet = encode(
        [ValueList("n7", "load", "", "gauge", "util", 1.0, 1.0, [(collectd.GAUGE, 0.5)])]
    )[0]
    protected = sign(packet, "ops", "a secret"), encrypt(packet, "ops", "a secret", b"\1" * 16)
    packet_bytes = data.draw(st.sampled_from(protected))
    at, bit = data.draw(st.integers(0, len(packet_bytes) - 1)), data.draw(st.integers(0, 7))
    broken = bytearray(packet_bytes)
    broken[at] ^= 1 << bit
    with pytest.raises(Malformed):
        decode(bytes(broken), PASSWORD_OF, "signed")


def test_a_hand_written_packet_of_the_published_layout_is_decoded():
    packet = b"\0\0\0\x07n7\0\0\1\0\x0c\0\0\0\0\x67\x4b\x9a\0\0\2\0\x09load\0"
    packet += b"\0\4\0\x0agauge\0\0\6\0\x0f\0\1\1\0\0\0\0\0\0\xd0\x3f"
    (one,) = decode(packet)
    assert (one.host, one.plugin, one.type, one.at, one.values) == (
        "n7",
        "load",
        "gauge",
        0x674B9A00,
        [(1, 0.25)],
    )
    assert one.series() == "n7.load.gauge"


def test_an_unknown_gauge_is_nan():
    packet = encode([ValueList("n7", "load", values=[(collectd.GAUGE, math.nan)])])[0]
    assert math.isnan(decode(packet)[0].values[0][1])


@pytest.mark.parametrize("must", ["signed", "encrypted"])
def test_weaker_protection_than_required_is_refused(must):
    packet = encode([ValueList("n7", "load", values=[(collectd.GAUGE, 1.0)])])[0]
    with pytest.raises(Malformed, match="not " + must):
        decode(packet, PASSWORD_OF, must)
    with pytest.raises(Malformed, match="unknown user"):
        decode(sign(packet, "stranger", "x"), PASSWORD_OF, "signed")
