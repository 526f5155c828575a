"""Quantiles and bounds for a test that may be evaluated at any time. Pure functions."""

import math
from statistics import NormalDist

MIN_BLOCKS = 2  # for a variance
MIXTURE_VARIANCE = 25.0  # of the effect's prior, in variances of one block


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
    """Returns how far the mean of `count` blocks may lie from the truth, in standard errors.

    The bound holds at all times together with probability 1 - `level`: the always-valid t-test by a
    normal mixture over the effect's size and the right Haar measure over the variance (Lai 1976;
    Wang and Ramdas, "Anytime-valid t-tests and confidence sequences for Gaussian means with unknown
    variance", 2024). It is infinite for the first few blocks.
    """
    if count < MIN_BLOCKS:
        return math.inf
    spread = 1 + count * MIXTURE_VARIANCE
    ratio = (math.sqrt(spread) / level) ** (2 / count)
    if ratio >= spread:
        return math.inf
    return math.sqrt((count - 1) * (ratio - 1) / (1 - ratio / spread))
