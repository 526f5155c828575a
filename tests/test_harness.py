"""The harness of coordinators as processes: their addresses are theirs alone, and one that ends is not waited for."""

import socket
from pathlib import Path

import pytest

from tests.keepers import Group, coordinator_addresses

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.fixture
def listeners():
    opened = []
    yield opened
    for listener in opened:
        listener.close()


def listen(listeners, host, port):
    listener = socket.socket()
    listeners.append(listener)
    listener.bind((host, port))
    listener.listen()
    return listener.getsockname()[1]


def test_coordinators_begin_although_another_listener_was_given_their_ports(tmp_path, listeners):
    """What a relay may be given while a coordinator has not begun is at the loopback address of all."""
    group = Group(tmp_path)
    for _, (_, port) in group.keepers:
        listen(listeners, "127.0.0.1", port)
    with group:
        assert len(set(group.voters())) == len(group.names)


def test_the_system_hands_out_none_of_the_coordinators_ports(listeners):
    lowest = int(PORT_RANGE.read_text().split()[0])
    addresses = [address.rpartition(":") for address in coordinator_addresses(5)]
    ports = {int(port) for _, _, port in addresses}
    assert len(ports) == 5 and max(ports) < lowest
    host = addresses[0][0]
    assert host != "127.0.0.1"
    assert ports.isdisjoint(listen(listeners, host, 0) for _ in range(200))


def test_a_process_that_ends_at_its_start_fails_the_test_at_once_with_its_log(tmp_path):
    group = Group(tmp_path)
    group.file.write_text(group.file.read_text().replace('"k1"', '"k9"', 1))
    refused = r"(?s)k1 ended with \d+:\n.*no keeper 'k1' in these settings"
    try:
        with pytest.raises(AssertionError, match=refused):
            group.__enter__()
    finally:
        group.__exit__()
