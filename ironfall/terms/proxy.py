"""The `(proxy ...)` section of a service's settings."""

from dataclasses import dataclass

from ironfall import words
from ironfall.words import Facts, Form


@dataclass(frozen=True)
class ProxyTerms:
    """The settings of a proxy that don't depend on its tables.

    Times are in tenths of a millisecond.

    Attributes:
        usual_tries: The retry policy of a class for which the director has set none.
        try_share: Timeout of an attempt that may be retried, in latency objectives of its class.
        shun_after: Consecutive failures at a host after which this proxy ejects it; 0: never.
        shun_time: How long the host stays ejected.
        streams: Concurrent requests on one connection.
        connect_time: Timeout of a connection attempt.
        standing: Hosts in the table that a proxy starts with.
    """

    usual_tries: int = 1
    try_share: float = 1.2
    shun_after: int = 0
    shun_time: int = 0
    streams: int = 100
    connect_time: int = 2_500
    standing: int = 6


def read_proxy(form: Form, _facts: Facts) -> ProxyTerms:
    """Reads the section; keys that are absent have the defaults of `ProxyTerms`."""
    defaults = ProxyTerms()
    return ProxyTerms(
        usual_tries=form.get("usual-tries", words.count, defaults.usual_tries),
        try_share=form.get("try-share", words.number, defaults.try_share),
        shun_after=form.get("shun-after", words.count, defaults.shun_after),
        shun_time=form.get("shun-time", words.time, defaults.shun_time),
        streams=form.get("streams", words.count, defaults.streams),
        connect_time=form.get("connect", words.time, defaults.connect_time),
        standing=form.get("standing", words.count, defaults.standing),
    )
