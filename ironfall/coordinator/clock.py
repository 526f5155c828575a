"""Whether this keeper's wall clock may stand for the fleet's: what the log and the peers say of it. Pure."""

SECOND = 10_000


class Clock:
    """All in tenths of a millisecond: `wall` since 1970, `now` monotonic."""

    def __init__(self, most: int = SECOND, age: int = 5 * SECOND) -> None:
        self.most, self.age = most, age
        self.peers: dict[
            str, tuple[int, int]
        ] = {}  # what each one's clock is over our monotonic one, and when heard

    def heard(self, peer: str, wall: int, now: int) -> None:
        self.peers[peer] = (wall - now, now)

    def off(self, wall: int, now: int, newest: int, members: int) -> str:
        """Why not; nothing: it may. `newest`: the log's time; `members`: how many vote, this one too.

        A peer's word is as late as its message took, so one that was stopped may doubt itself for a message or two.
        """
        if wall < newest - self.most:
            return f"its clock is {(newest - wall) / SECOND:.1f}s behind the log"
        self.peers = {p: (over, at) for p, (over, at) in self.peers.items() if now - at <= self.age}
        apart = [over - (wall - now) for over, _ in self.peers.values()]
        if 2 * sum(abs(a) > self.most for a in apart) > members:
            return f"its clock is {sorted(apart)[len(apart) // 2] / -SECOND:+.1f}s apart from most keepers'"
        return ""
