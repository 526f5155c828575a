"""The events of two feeds merged into one view of the attached proxies, without I/O."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.decisions.time_units import SECOND
from ironfall.platform.proxy_feed import ProxyState
from ironfall.platform.proxy_streams import ProxyStreams


class RecordingListener:
    """Records the events that a `ProxyStreams` passes on from its feeds."""

    def __init__(self):
        self.events, self.now = [], 0
        self.streams = ProxyStreams(self, lambda: self.now)

    def on_proxy_joined(self, proxy, zone, rate):
        self.events.append(("joined", proxy))

    def on_proxy_left(self, proxy):
        self.events.append(("left", proxy))

    def on_proxy_desynchronized(self, proxy):
        self.events.append(("strayed", proxy))

    def on_nonce_confirmed(self, proxy, nonce):
        self.events.append(("applied", proxy, nonce))

    def feed(self, *snapshot_proxies, cold=False):
        feed = self.streams.open_feed()
        for proxy in snapshot_proxies:
            self.streams.on_attach(feed, proxy, ProxyState(0, 1.0, cold))
        self.streams.end_snapshot(feed)
        return feed

    def restart(self, feed, proxy):
        """Has a feed deliver that a proxy has detached and attached again, without any table."""
        self.streams.on_detach(feed, proxy)
        self.streams.on_attach(feed, proxy, ProxyState(0, 1.0, True))

    def take_events(self):
        events, self.events = self.events, []
        return events


def test_events_delivered_by_two_feeds_are_passed_on_once():
    listener = RecordingListener()
    first, second = listener.feed(1, 2), listener.feed(1, 2)
    streams = listener.streams
    streams.on_detach(first, 1)
    streams.on_attach(first, 1, ProxyState(0, 1.0, False))
    streams.on_detach(second, 1)
    streams.on_detach(first, 1)
    streams.on_attach(second, 1, ProxyState(0, 1.0, False))
    streams.on_detach(second, 1)
    streams.on_confirmation(second, 2, 5)
    streams.on_confirmation(first, 2, 5)
    assert listener.take_events() == [
        ("joined", 1),
        ("joined", 2),
        ("left", 1),
        ("joined", 1),
        ("left", 1),
        ("applied", 2, 5),
    ]


def test_an_attached_proxy_stays_attached_while_one_feed_goes_on():
    listener = RecordingListener()
    first, second = listener.feed(1, 2), listener.feed(1, 2)
    listener.streams.assigned |= {1, 2}
    listener.streams.close_feed(first)
    listener.take_events()
    listener.feed(1, 2, cold=True)
    assert listener.take_events() == [] and listener.streams.gap_count == 0
    listener.now += 20_000  # the second feed was idle: it may have missed events in that time
    third = listener.feed(1, 2)
    assert listener.take_events() == [("strayed", 1), ("strayed", 2)]
    listener.streams.close_feed(second)
    listener.streams.close_feed(third)


def test_after_a_gap_of_all_feeds_cold_proxies_rejoin_and_others_are_desynchronized():
    listener = RecordingListener()
    feed = listener.feed(1, 2, 3, 4)
    listener.streams.assigned |= {1, 2, 3}
    listener.streams.close_feed(feed)
    listener.take_events()
    feed = listener.streams.open_feed()
    for proxy, cold in ((1, True), (2, False), (4, False), (5, True)):
        listener.streams.on_attach(feed, proxy, ProxyState(0, 1.0, cold))
    assert listener.take_events() == [("left", 1), ("joined", 1), ("strayed", 2), ("joined", 5)]
    listener.streams.end_snapshot(feed)
    assert listener.take_events() == [("left", 3)] and listener.streams.gap_count == 1


def test_a_feed_may_lag_by_any_time_and_any_number_of_events():
    # If only the newest events were remembered, an event that came later would count as new and detach a proxy.
    listener = RecordingListener()
    first, second = listener.feed(1), listener.feed(1)
    listener.take_events()
    for _ in range(50):
        listener.streams.on_detach(first, 1)
        listener.streams.on_attach(first, 1, ProxyState(0, 1.0, False))
    assert len(listener.take_events()) == 100 and listener.streams.attached == {1}
    listener.now += 10 * 20_000
    for _ in range(50):
        listener.streams.on_detach(second, 1)
        listener.streams.on_attach(second, 1, ProxyState(0, 1.0, False))
    assert listener.take_events() == [] and listener.streams.attached == {1}
    listener.streams.on_detach(second, 1)
    assert listener.take_events() == [("left", 1)]


def test_a_snapshot_proxy_whose_detach_the_other_feed_has_delivered_does_not_rejoin():
    listener = RecordingListener()
    first = listener.feed(1)
    second = listener.streams.open_feed()
    listener.streams.on_detach(first, 1)
    listener.take_events()
    listener.streams.on_attach(
        second, 1, ProxyState(0, 1.0, False)
    )  # the state when the snapshot was requested, before the detach
    listener.streams.end_snapshot(second)
    listener.streams.on_detach(second, 1)
    assert listener.take_events() == []
    listener.streams.on_attach(first, 1, ProxyState(0, 1.0, True))
    listener.streams.on_attach(second, 1, ProxyState(0, 1.0, True))
    assert listener.take_events() == [("joined", 1)]


def test_events_before_a_late_snapshot_count_once_however_long_after_it_they_come():
    # The other feed had delivered them before the snapshot, and they were counted as part of it.
    listener = RecordingListener()
    first = listener.feed(1)
    listener.now += 10 * SECOND
    listener.streams.on_received(first)
    second = listener.streams.open_feed()
    listener.restart(first, 1)
    listener.streams.on_attach(second, 1, ProxyState(0, 1.0, False))
    listener.streams.end_snapshot(second)
    listener.now += SECOND // 2
    listener.streams.on_received(first)
    listener.streams.on_received(second)
    listener.take_events()
    listener.restart(second, 1)
    assert listener.take_events() == []


def test_a_feed_that_was_alone_is_not_in_doubt_when_a_later_one_ends():
    # Its proxies with recent events were assigned anew, though no feed was left that could have missed anything.
    listener = RecordingListener()
    first = listener.feed(1)
    listener.restart(first, 1)
    listener.streams.assigned.add(1)
    listener.streams.close_feed(listener.feed(1))
    assert listener.take_events() == [("joined", 1), ("left", 1), ("joined", 1)]


def test_two_feeds_of_which_both_are_in_doubt_verify_each_other():
    # Neither could, and the proxies with recent events were assigned anew although both feeds went on.
    listener = RecordingListener()
    streams = listener.streams
    feeds = [streams.open_feed(), streams.open_feed()]
    for feed in feeds:
        for proxy in (1, 2):
            streams.on_attach(feed, proxy, ProxyState(0, 1.0, True))
        streams.end_snapshot(feed)
    for feed in feeds:
        listener.restart(feed, 1)
    streams.assigned |= {1, 2}
    listener.take_events()
    for _ in range(5):
        listener.now += SECOND
        for feed in feeds:
            streams.on_received(feed)
    assert listener.take_events() == [] and all(feed.is_verified for feed in feeds)


def test_a_proxy_that_attaches_twice_without_detaching_rejoins_once():
    listener = RecordingListener()
    first, second = listener.feed(1), listener.feed(1)
    listener.take_events()
    listener.streams.on_attach(first, 1, ProxyState(0, 1.0, True))
    listener.streams.on_attach(second, 1, ProxyState(0, 1.0, True))
    assert listener.take_events() == [("left", 1), ("joined", 1)]


@settings(max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 3), max_size=60), st.data())
def test_two_feeds_agree_on_the_attached_proxies_at_any_pace_and_with_any_breaks(
    changed_proxies, data
):
    # Both feeds deliver the same events in the same order, each at its own pace. A feed may break and start again with
    # a snapshot of the state at that time. If none breaks, no event is passed on twice.
    listener, relay_events, joined, breaks = RecordingListener(), [], set(), 0
    for proxy in changed_proxies:
        relay_events.append((proxy, proxy not in joined))
        joined ^= {proxy}
    feeds = [[listener.feed(), 0], [listener.feed(), 0]]
    while any(at < len(relay_events) for _, at in feeds):
        listener.now += data.draw(st.sampled_from([0, 0, 30_000]))
        feed_position = data.draw(st.sampled_from([p for p in feeds if p[1] < len(relay_events)]))
        if data.draw(st.integers(0, 15)) == 0:
            breaks += 1
            listener.streams.close_feed(feed_position[0])
            newest = max(at for _, at in feeds)
            feed_position[1] = data.draw(st.integers(newest, len(relay_events)))
            snapshot = set()
            for proxy, _ in relay_events[: feed_position[1]]:
                snapshot ^= {proxy}
            feed_position[0] = listener.feed(*sorted(snapshot))
            continue
        proxy, attached = relay_events[feed_position[1]]
        feed_position[1] += 1
        if attached:
            listener.streams.on_attach(feed_position[0], proxy, ProxyState(0, 1.0, False))
        else:
            listener.streams.on_detach(feed_position[0], proxy)
    assert listener.streams.attached == joined
    if not breaks:
        assert len(listener.events) == len(relay_events)
