"""Quantiles and bounds of a sequential test that may be evaluated at any time."""

import math
from statistics import NormalDist

MIN_BLOCKS = 2  # needed to estimate a variance
MIXTURE_VARIANCE = 25.0  # of the prior of the effect, in units of one block's variance


def student_quantile(tail: float, degrees: int) -> float:
    """Returns the value that Student's t exceeds with probability `tail`.

    Uses the Cornish-Fisher expansion, accurate to one percent from 8 degrees of freedom.
    """
    z = NormalDist().inv_cdf(1 - tail)
    v = degrees
    return (
        z
        + (z**3 + z) / (4 * v)
        + (5 * z**5 + 16 * z**3 + 3 * z) / (96 * v**2)
        + (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / (384 * v**3)
    )


def anytime_bound(level: float, count: int) -> float:
    """Returns the half-width of the confidence interval of a mean, in standard errors.

    The interval of the mean of `count` blocks holds for all counts simultaneously with probability
    1 - `level`: the always-valid t-test with a normal mixture over the effect size and the right
    Haar measure over the variance (Lai 1976; Wang and Ramdas, "Anytime-valid t-tests and confidence
    sequences for Gaussian means with unknown variance", 2024). It is infinite for the first few
    blocks.
    """
    if count < MIN_BLOCKS:
        return math.inf
    spread = 1 + count * MIXTURE_VARIANCE
    ratio = (math.sqrt(spread) / level) ** (2 / count)
    if ratio >= spread:
        return math.inf
    return math.sqrt((count - 1) * (ratio - 1) / (1 - ratio / spread))
