"""Admission control: sheds load during overload, and allows retries when they help."""

from ironfall.decisions.channel_capacity import ADMISSION_SHARE, ChannelCapacity
from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.interface import OrderSink
from ironfall.decisions.load_estimate import LoadEstimate
from ironfall.decisions.records import TrafficClass

# Minimum admitted share of all work, and of the requests of each class.
MIN_ADMITTED_SHARE = 0.25
MIN_CLASS_ADMITTED_SHARE = 0.08
# A step down multiplies the admitted share by REDUCTION_OFFSET - REDUCTION_PER_OVERLOAD * overload,
# but by no less than MIN_REDUCTION_FACTOR.
MIN_REDUCTION_FACTOR = 0.6
REDUCTION_OFFSET = 1.15
REDUCTION_PER_OVERLOAD = 0.15
# Maximum factors of a step up, below and above the share that the fleet is known to sustain.
FAST_INCREASE_FACTOR = 1.5
SLOW_INCREASE_FACTOR = 1.1
# Smaller changes of a class's share don't justify a message to every proxy.
MIN_SHARE_CHANGE = 0.04
# A second attempt is worthwhile at failure rates in this range, while the mean latency is below
# this share of the latency objective.
MIN_RETRY_FAILURE_RATE = 0.03
MAX_RETRY_FAILURE_RATE = 0.4
MAX_RETRY_LATENCY_SHARE = 0.3


class AdmissionControl:
    """Decides the admitted share of each traffic class, and the attempts per request.

    Attributes:
        admitted_share: Share of the work that is admitted.
        reduced_at: When it was last reduced; 0 if never.
    """

    def __init__(
        self,
        fleet: FleetState,
        channel: ChannelCapacity,
        load: LoadEstimate,
        orders: OrderSink,
        *,
        sheds_load: bool,
    ) -> None:
        self.fleet = fleet
        self.channel = channel
        self.load = load
        self.orders = orders
        self.sheds_load = sheds_load
        self.admitted_share = 1.0
        self.reduced_at = 0

    def update(self, now: int) -> None:
        """Adapts the admitted share to the overload, and orders the changes of each class."""
        self._update_admitted_share(now)
        shed_work = (1 - self.admitted_share) * self.load.work_rate
        by_value = sorted(
            enumerate(self.fleet.traffic_classes), key=lambda pair: pair[1].value_per_work
        )
        for index, traffic_class in by_value:
            class_work = traffic_class.request_rate * traffic_class.work
            share = 1.0
            if class_work:
                share = max(MIN_CLASS_ADMITTED_SHARE, 1 - shed_work / class_work)
            shed_work = max(0.0, shed_work - (1 - share) * class_work)
            self._order(now, index, traffic_class, share)

    def _update_admitted_share(self, now: int) -> None:
        overload = self.load.overload
        sustainable = self.load.sustainable_share
        if overload > 1:
            # Late reports still show the overload that the previous step was a response to.
            report_clock = self.load.report_clock
            report_delay = report_clock.report_spacing - report_clock.report_interval
            if now - self.reduced_at > 2 * report_delay:
                factor = max(
                    MIN_REDUCTION_FACTOR, REDUCTION_OFFSET - REDUCTION_PER_OVERLOAD * overload
                )
                self.admitted_share = max(
                    min(self.admitted_share, sustainable),
                    self.admitted_share * factor,
                    MIN_ADMITTED_SHARE,
                )
                self.reduced_at = now
            return
        step = SLOW_INCREASE_FACTOR
        if self.admitted_share < sustainable:
            step = FAST_INCREASE_FACTOR
        self.admitted_share = min(1.0, self.admitted_share * (step + (1 - step) * overload))

    def _order(self, now: int, index: int, traffic_class: TrafficClass, share: float) -> None:
        """Orders a class's share and attempts if they changed and the channel has capacity."""
        attempts = self._attempts(traffic_class)
        difference = abs(share - traffic_class.admitted_share)
        is_restored = share == 1 != traffic_class.admitted_share
        share_changed = self.sheds_load and (difference > MIN_SHARE_CHANGE or is_restored)
        if not share_changed and attempts == traffic_class.attempts:
            return
        proxies = self.fleet.proxies
        if self.channel.fits_one_entry_each(now, ADMISSION_SHARE, len(proxies)):
            traffic_class.attempts = attempts
            traffic_class.admitted_share = share
            self.channel.budget.charge(now, proxies)
            self.orders.admit(1 << index, share, attempts)

    def _attempts(self, traffic_class: TrafficClass) -> int:
        """Returns the attempts per request; at high latency, retries would only add load."""
        failure_rate = traffic_class.failure_rate.value
        fails_occasionally = MIN_RETRY_FAILURE_RATE < failure_rate < MAX_RETRY_FAILURE_RATE
        latency_limit = MAX_RETRY_LATENCY_SHARE * self.load.latency_objective
        if fails_occasionally and self.load.recent_latency < latency_limit:
            return traffic_class.max_attempts
        return 1
