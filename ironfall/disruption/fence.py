"""What registry and agents hold against late orders: of each unit, the newest token that was acted on."""

from ironfall.disruption.terms import DisruptionRules


class Fence:
    """Pure; whoever has one saves `state()` before the act that it allowed, and starts from it again.

    At `most` units a new one is refused: to forget an old token is to let an older order through. Who holds one for a
    whole fleet gives it the terms' `(hosts N)`.
    """

    def __init__(
        self, tokens: dict[str, int] | None = None, most: int = DisruptionRules.hosts
    ) -> None:
        self.tokens, self.most = dict(tokens or {}), most

    def allows(self, unit: str, token: int) -> bool:
        """Whether an order under this token may be done; the same one again may, since acts are told by state."""
        if token < self.tokens.get(unit, 0) or token < 1:
            return False
        if unit not in self.tokens and len(self.tokens) >= self.most:
            return False
        self.tokens[unit] = token
        return True

    def state(self) -> dict[str, int]:
        return dict(self.tokens)
