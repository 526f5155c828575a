"""The `(proxy ...)` part of a service's terms."""

from dataclasses import dataclass

from ironfall import words
from ironfall.words import Facts, Form


@dataclass(frozen=True)
class ProxyTerms:
    """What a proxy does by itself, whatever its tables say."""

    usual_tries: int = 1  # the way of trying again where none was ordered
    try_share: float = 1.2  # a try that may have a next one waits this many times the expected time
    shun_after: int = 0  # own failures in a row; 0: shuns nothing
    shun_time: int = 0
    streams: int = 100  # exchanges at once on a connection
    connect_time: int = 2_500
    standing: int = 6  # hosts of the table it starts with


def read_proxy(form: Form, facts: Facts) -> ProxyTerms:
    usual = ProxyTerms()
    return ProxyTerms(
        usual_tries=form.get("usual-tries", words.count, usual.usual_tries),
        try_share=form.get("try-share", words.number, usual.try_share),
        shun_after=form.get("shun-after", words.count, usual.shun_after),
        shun_time=form.get("shun-time", words.time, usual.shun_time),
        streams=form.get("streams", words.count, usual.streams),
        connect_time=form.get("connect", words.time, usual.connect_time),
        standing=form.get("standing", words.count, usual.standing),
    )
