"""Messages between coordinators: those of the consensus, clocks and leadership transfer."""

from collections.abc import Callable, Sequence
from typing import Any

from ironfall.coordinator import peer_codec
from ironfall.coordinator.clock import ClockCheck, SystemClock
from ironfall.coordinator.coordinator_node import CoordinatorNode
from ironfall.coordinator.peers import PeerNetwork


class PeerMessages:
    """Addresses messages to incarnations of members; accepts only those to its own incarnation."""

    def __init__(
        self,
        identity: Callable[[], str],
        network: PeerNetwork,
        clock: SystemClock,
        clock_check: ClockCheck,
        handle: Callable[[Callable[[CoordinatorNode], None]], None],
    ) -> None:
        """Takes `handle`, which passes an event to the node; `identity` returns this member's."""
        self._identity = identity
        self._network = network
        self._clock = clock
        self._clock_check = clock_check
        self._handle = handle

    def send(self, to: str, name: str, fields: Sequence[object], payload_bytes: int = 0) -> None:
        """Queues a message.

        Args:
            to: the receiving member's identity.
            name: the message's wire name.
            fields: the message's fields, in their order.
            payload_bytes: the size of the entries or of the part of a snapshot in it.
        """
        sent_at = self._clock.wall_ticks()
        envelope = peer_codec.Envelope(self._identity(), to, name, fields, sent_at)
        self._network.send(envelope, payload_bytes)

    def on_post(self, encoded: Any) -> None:
        """Handles the messages of a post.

        Raises:
            ValueError, TypeError, KeyError, AttributeError: they are malformed.
        """
        for encoded_envelope in encoded:
            self._on_message(peer_codec.Envelope.from_json(encoded_envelope))

    def _on_message(self, envelope: peer_codec.Envelope) -> None:
        sender = envelope.sender
        if envelope.receiver != self._identity() or not self._network.has_peer(sender):
            # For an earlier incarnation, or from an unknown sender.
            return
        self._clock_check.on_peer_time(sender, envelope.sent_at, self._clock.now_ticks())
        if envelope.name == peer_codec.LEADER_LEAVING:
            self._handle(lambda node: node.on_leader_leaving(sender, *envelope.fields))
            return
        message = peer_codec.decode(envelope.name, envelope.fields)
        if message is not None:
            self._handle(lambda node: node.on_message(sender, message))
