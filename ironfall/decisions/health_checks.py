"""Orders health checks, at a rate that depends on their price."""

from ironfall.decisions.fleet_state import FleetState
from ironfall.decisions.interface import OrderSink, ServiceSettings
from ironfall.decisions.load_estimate import LoadEstimate
from ironfall.decisions.records import QUEUE_LENGTH, REQUESTS_IN_FLIGHT
from ironfall.decisions.time_units import SECOND, UPDATE_INTERVAL

# Maximum spending on health checks per request, if a request earns 1, and the price of a health
# check if it is unknown.
SPENDING_PER_REQUEST = 0.002
DEFAULT_PRICE = 0.002
# Requests per second that are assumed while none are measured.
DEFAULT_REQUEST_RATE = 100.0


class HealthChecker:
    """Orders health checks of the ready hosts, round-robin."""

    def __init__(
        self,
        fleet: FleetState,
        load: LoadEstimate,
        orders: OrderSink,
        settings: ServiceSettings,
    ) -> None:
        self.fleet = fleet
        self.load = load
        self.orders = orders
        reports_gauges = REQUESTS_IN_FLIGHT in settings.gauges or QUEUE_LENGTH in settings.gauges
        self.is_enabled = settings.health_checks_allowed and reports_gauges
        self.checks_per_request = SPENDING_PER_REQUEST / (
            settings.health_check_price or DEFAULT_PRICE
        )
        # Number of checks so far, with the accrued fraction of the next one.
        self.checks = 0.0

    def order_checks(self) -> None:
        """Orders the health checks of one update interval."""
        ready = [h for h in self.fleet.hosts.values() if h.is_ready]
        request_rate = self.load.request_rate or DEFAULT_REQUEST_RATE
        checks_per_second = min(self.checks_per_request * request_rate, len(ready))
        first = int(self.checks)
        self.checks += checks_per_second * UPDATE_INTERVAL / SECOND
        if self.is_enabled:
            for n in range(first, int(self.checks)):
                self.orders.health_check(ready[n % len(ready)].id)
