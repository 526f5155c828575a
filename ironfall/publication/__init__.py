"""Versioned tables: the publisher's side (`Publication`) and the proxy's (`Holding`), without I/O.

Each batch of orders makes one version. A delta leads from one version to another, a full state from
nothing to one. Both carry the checksum of the resulting state, so that a divergence of the two
sides is detected at once. Versions, acknowledgement and compaction follow etcd's watch and Envoy's
delta xDS.
"""

from ironfall.publication.holding import Holding, Outcome
from ironfall.publication.publisher import Publication
from ironfall.publication.state import MILLION, Delta, entry_sum

__all__ = ["MILLION", "Delta", "Holding", "Outcome", "Publication", "entry_sum"]
