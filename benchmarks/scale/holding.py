"""What a proxy holds of a service's tables, and the bytes of a whole state and of one changed line.

Two classes that go by one table, in the second session on end: what was held before it is kept beside it.
"""

import sys
import time

from ironfall.api import codec
from ironfall.generated import ironfall_pb2 as pb
from ironfall.publication import Holding, Publication

SIZES = (34, 136, 544, 2_000, 11_000)
BY = "hosts"
FIGURES = {"held_bytes": "B", "state_bytes": "B", "change_bytes": "B", "apply_us": "us"}
LEFT_OUT = "No sockets, data plane or sessions with hosts: what the protocol's client end holds and reads, alone."
COUNTED = frozenset({"held_bytes", "state_bytes", "change_bytes"})
PROCESSES = 0
CLASSES, CHANGES = 2, 20


def MEMORY_MB(size):
    return 60 + size * 0.01


def weigh(one, seen):
    """Bytes of all that an object holds, each thing once."""
    if id(one) in seen or isinstance(one, type):
        return 0
    seen.add(id(one))
    inside = []
    if isinstance(one, dict):
        inside = [*one, *one.values()]
    elif isinstance(one, list | tuple | set | frozenset):
        inside = one
    elif hasattr(one, "__dict__"):
        inside = vars(
            one
        ).values()  # the dictionary itself shares its keys with others of the class
    elif hasattr(one, "__slots__"):
        inside = [getattr(one, name) for name in one.__slots__]
    return sys.getsizeof(one) + sum(weigh(part, seen) for part in inside)


def published(size, epoch, chance):
    found = Publication(epoch, CLASSES)
    found.join(0)
    for n in range(size):
        found.set_weight(0, name(n), 0.5 + chance.random())
    found.assign(0, 0, 0)
    found.admit(0, 1.0, 1)
    found.close()
    return found


def name(n):
    return f"host{n}@127.{n // 62_500 + 1}.{n // 250 % 250}.{n % 250 + 1}:9000"


def sent(publication, start):
    delta = publication.delta(0, start, publication.version)
    return codec.encode_state(delta, [], codec.PROTOBUF, "zstd")


def taken(holding, body, form):
    state = codec.decode(pb.State, body, codec.PROTOBUF, form.get("Content-Encoding", ""), 1 << 24)
    outcome = holding.apply(codec.unpack_state(state))
    if outcome.value != "applied":
        raise RuntimeError(f"a state that was {outcome.value}")


def play(size, chance):
    holding = Holding(CLASSES, {})
    for epoch in (1_733_000_000_000_000, 1_733_000_001_000_000):
        publication = published(size, epoch, chance)
        holding.join(epoch, 0)
        whole, form = sent(publication, -1)
        taken(holding, whole, form)
    took, most = 0.0, 0
    for _ in range(CHANGES):
        publication.set_weight(0, name(chance.randrange(size)), 0.5 + chance.random())
        publication.close()
        body, form = sent(publication, publication.version - 1)
        begun = time.process_time()
        taken(holding, body, form)
        took += time.process_time() - begun
        most = max(most, len(body))
    held = weigh(holding, set())
    return {
        "held_bytes": held,
        "state_bytes": len(whole),
        "change_bytes": most,
        "apply_us": took / CHANGES * 1e6,
    }
