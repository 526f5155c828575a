"""A new version of the directors, by waves, judged on the way, and back again where it does harm. No I/O, no clock.

`Release.look(View)` is called each second with what the ledger shows; it acts by a `Way`. docs/releases.md has states
and ways back.
"""

from ironfall.rollout.judge import Judge, Word
from ironfall.rollout.release import Order, Release, Way
from ironfall.rollout.view import View, view_of

__all__ = ["Judge", "Order", "Release", "View", "Way", "Word", "view_of"]
