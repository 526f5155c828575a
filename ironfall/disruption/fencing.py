"""Fencing tokens: an order older than the newest one acted on is rejected."""

from ironfall.disruption.settings import DisruptionRules


class Fence:
    """The newest token acted on for each target, kept by the host registry and by host agents.

    The owner must persist `state()` before it carries out an order that `allows` admitted, and must
    start from the persisted state after a restart. Once `max_targets` targets are known, orders for
    any other are rejected: evicting a token would let older orders through. An owner that serves a
    whole fleet passes the fleet's `hosts` limit.
    """

    def __init__(
        self, tokens: dict[str, int] | None = None, max_targets: int = DisruptionRules.hosts
    ) -> None:
        """Starts from the persisted `tokens` by target, if any."""
        self.tokens = dict(tokens or {})
        self.max_targets = max_targets

    def allows(self, target: str, token: int) -> bool:
        """Returns whether an order with this token may be carried out, and records the token if so.

        The same token is allowed again, since orders name the wanted condition and are idempotent.
        """
        if token < self.tokens.get(target, 0) or token < 1:
            return False
        if target not in self.tokens and len(self.tokens) >= self.max_targets:
            return False
        self.tokens[target] = token
        return True

    def state(self) -> dict[str, int]:
        """Returns a copy of the newest tokens by target, for the owner to persist."""
        return dict(self.tokens)
