"""Versioned tables: the publisher's side (`Publication`) and the proxy's (`Holding`). Pure: no I/O.

One batch of orders is one version. A delta leads from exactly one version to another, a full state
from nothing to one; both carry the checksum of the state they lead to, so that the two ends notice
at once when they differ. Versions, acknowledgement and compaction follow etcd's watch and Envoy's
delta xDS.
"""

from ironfall.publication.holding import Holding, Outcome
from ironfall.publication.publisher import Publication
from ironfall.publication.state import MILLION, Delta, entry_sum

__all__ = ["MILLION", "Delta", "Holding", "Outcome", "Publication", "entry_sum"]
