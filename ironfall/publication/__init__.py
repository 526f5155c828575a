"""What each proxy is to hold, in versions: the publisher's side (`Publication`) and the proxy's (`Holding`).

No I/O and no clock. One turn of orders is one version. A delta leads from exactly one version to another, a full
state from nothing to one; both carry the checksum of the state they lead to, so that the two ends know at once
when they differ. The idea of versions, receipts and compaction is that of etcd's watch and Envoy's delta xDS.
"""

from ironfall.publication.holding import Holding, Outcome
from ironfall.publication.publisher import Publication
from ironfall.publication.state import MILLION, Delta, entry_sum

__all__ = ["MILLION", "Delta", "Holding", "Outcome", "Publication", "entry_sum"]
