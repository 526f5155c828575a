"""A simulation of the relay's feeds of proxy events, which lag, fall silent or break, in steps of a tenth of a second."""

import itertools

from ironfall.decisions.time_units import SECOND
from ironfall.platform.proxy_feed import ProxyState
from ironfall.platform.proxy_streams import ProxyStreams

STEP = SECOND // 10
PING_STEPS = 10
# As `proxy_subscription` closes a feed.
IDLE_STEPS = 35
PROXIES = range(3)
# Within `MAX_SNAPSHOT_LAG_TICKS` and `MAX_EVENT_LAG_TICKS`.
SHORT_LAG_STEPS = 2
LONG_LAG_STEPS = 25
# After a change of the relay's address, open connections end this much later.
RETIRING_STEPS = 15


class Connection:
    """One feed as the relay and the director see it, with the events that are on their way, oldest first.

    It delivers each event `lag_steps` late, until it is silent.
    """

    def __init__(self, feed, lag_steps):
        self.feed, self.lag_steps, self.is_silent = feed, lag_steps, False
        self.idle_steps, self.under_way = 0, []

    def send(self, step, event):
        if not self.is_silent:
            self.under_way.append((step + self.lag_steps, event))

    def take_due(self, step):
        due = [event for at, event in self.under_way if at <= step]
        self.under_way = self.under_way[len(due) :]
        return due


class FeedSimulation:
    """A relay, its proxies and the `ProxyStreams` of a director with two feeds, in steps of a tenth of a second.

    The director assigns each proxy that joins or is desynchronized in the next step. `served` has the incarnation of
    each proxy that got the director's last assignment.

    The second feed, and each that replaces it, delivers its snapshot and events `lag_steps` late. What is on its way is
    lost when a feed breaks, but not on one that lags by more than `SHORT_LAG_STEPS`.
    """

    def __init__(self, lag_steps=0):
        self.now, self.steps, self.is_reachable = 0, 0, True
        self.lags = (0, min(lag_steps, SHORT_LAG_STEPS))
        self.streams = ProxyStreams(self, lambda: self.now)
        self.incarnations, self.cold, self.attached = itertools.count(1), set(), {}
        self.served, self.to_assign, self.events = {}, set(), []
        self.connections, self.retiring = [None, None], []
        for proxy in PROXIES:
            self.attach(proxy, cold=True)
        self.wait(5 * PING_STEPS)
        self.lags = (0, lag_steps)
        self.connections[1].lag_steps = lag_steps
        self.events = []

    def on_proxy_joined(self, proxy, _zone, _rate):
        self.events.append(("joined", proxy))
        self.to_assign.add(proxy)

    def on_proxy_left(self, proxy):
        self.events.append(("left", proxy))
        self.to_assign.discard(proxy)

    def on_proxy_desynchronized(self, proxy):
        self.events.append(("desynchronized", proxy))
        self.to_assign.add(proxy)

    def on_nonce_confirmed(self, proxy, nonce):
        pass

    # What happens at the relay.

    def attach(self, proxy, cold):
        """Attaches a proxy; one that is not cold holds another director's tables."""
        self.attached[proxy] = next(self.incarnations)
        if cold:
            self.cold.add(proxy)
        self._send(self._attach_event(proxy))

    def detach(self, proxy):
        if self.attached.pop(proxy, None):
            self.cold.discard(proxy)
            self._send(lambda feed: self.streams.on_detach(feed, proxy))

    def return_(self, proxy, cold):
        """Attaches a proxy that has detached, or detaches it and attaches it."""
        self.detach(proxy)
        self.attach(proxy, cold)

    def set_reachable(self, is_reachable):
        self.is_reachable = is_reachable

    def silence(self, index):
        if self.connections[index]:
            self._end_delivery(self.connections[index])
            self.connections[index].is_silent = True

    def reset(self, index):
        if self.connections[index]:
            self._end_delivery(self.connections[index])
            self.streams.close_feed(self.connections[index].feed)
            self.connections[index] = None

    def change_address(self):
        """Has the director subscribe anew; its open connections go on until they end, or a new one is settled."""
        retired_at = self.steps + RETIRING_STEPS
        self.retiring += [(retired_at, connection) for connection in filter(None, self.connections)]
        self.connections = [None, None]

    def _end_delivery(self, connection):
        if connection.lag_steps > SHORT_LAG_STEPS:
            self._deliver(connection, [event for _, event in connection.under_way])
        connection.under_way = []

    def wait(self, steps):
        for _ in range(steps):
            self._step()

    def heal(self):
        """Gives the director's feeds the time to be found silent, replaced and verified."""
        self.is_reachable = True
        self.wait(2 * IDLE_STEPS + 3 * PING_STEPS)

    def _step(self):
        self.now += STEP
        self.steps += 1
        if self.steps % PING_STEPS == 0:
            self._send(self.streams.end_snapshot)
        for index, connection in enumerate(self.connections):
            if connection is None:
                self._connect(index)
            elif connection.idle_steps >= IDLE_STEPS or connection.feed.is_abandoned:
                self.reset(index)
            else:
                connection.idle_steps += 1
        self._end_retiring()
        self._deliver_due()
        self._assign()

    def _end_retiring(self):
        is_settled = any(c.feed.is_settled(self.now) for c in filter(None, self.connections))
        for retired_at, connection in list(self.retiring):
            connection.idle_steps += 1
            has_ended = self.steps >= retired_at and not connection.is_silent
            if has_ended and not is_settled:
                # It ends regularly: what was on its way is delivered.
                self._deliver(connection, [event for _, event in connection.under_way])
                self.streams.on_received(connection.feed)
            if has_ended or is_settled or connection.idle_steps >= IDLE_STEPS:
                self.retiring.remove((retired_at, connection))
                self.streams.close_feed(connection.feed)

    def _connect(self, index):
        if not self.is_reachable:
            return
        connection = Connection(self.streams.open_feed(), self.lags[index])
        self.connections[index] = connection
        for proxy in self.attached:
            connection.send(self.steps, self._attach_event(proxy))
        connection.send(self.steps, self.streams.end_snapshot)

    def _open_connections(self):
        retiring = [connection for _, connection in self.retiring]
        return [*filter(None, self.connections), *retiring]

    def _send(self, event):
        for connection in self._open_connections():
            connection.send(self.steps, event)
        self._deliver_due()

    def _deliver_due(self):
        for connection in self._open_connections():
            self._deliver(connection, connection.take_due(self.steps))

    def _deliver(self, connection, events):
        if events:
            connection.idle_steps = 0
            self.streams.on_received(connection.feed)
        for event in events:
            if not connection.feed.is_abandoned:
                event(connection.feed)

    def _attach_event(self, proxy):
        state = ProxyState(0, 1.0, proxy in self.cold)
        return lambda feed: self.streams.on_attach(feed, proxy, state)

    def _assign(self):
        for proxy in self.to_assign & self.streams.attached:
            self.streams.assigned.add(proxy)
            if proxy in self.attached:
                self.served[proxy] = self.attached[proxy]
                self.cold.discard(proxy)
        self.to_assign = set()

    def unserved(self):
        """Returns the proxies that attached after the director last assigned them."""
        return {p for p, incarnation in self.attached.items() if self.served[p] != incarnation}
