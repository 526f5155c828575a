"""Fencing tokens: rejects orders that are older than the newest one acted on."""

from ironfall.disruption.settings import DisruptionRules


class Fence:
    """The newest token acted on for each target, kept by the host registry and by host agents.

    The owner must persist `state()` before it performs the act that `allows` permitted, and must
    start from the persisted state after a restart. Once `max_targets` targets are known, a new one
    is refused: evicting an old token would let an older order through. An owner that serves a whole
    fleet passes the fleet's `hosts` limit.
    """

    def __init__(
        self, tokens: dict[str, int] | None = None, max_targets: int = DisruptionRules.hosts
    ) -> None:
        """Starts from the persisted `tokens`, if any."""
        self.tokens = dict(tokens or {})
        self.max_targets = max_targets

    def allows(self, target: str, token: int) -> bool:
        """Whether an order under this token may be performed; records the token if so.

        The same token is allowed again: orders state the wanted condition and are idempotent.
        """
        if token < self.tokens.get(target, 0) or token < 1:
            return False
        if target not in self.tokens and len(self.tokens) >= self.max_targets:
            return False
        self.tokens[target] = token
        return True

    def state(self) -> dict[str, int]:
        """A copy of the newest tokens by target, for the owner to persist."""
        return dict(self.tokens)
