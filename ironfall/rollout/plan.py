"""The parameters of a rollout: its versions, time limits and thresholds."""

from dataclasses import dataclass

SECOND = 10_000  # ticks of a tenth of a millisecond


@dataclass(frozen=True)
class RolloutPlan:
    """One rollout of the directors to a version. Durations are in ticks of 0.1 ms.

    Attributes:
        name: The rollout's name; its scope in the ledger is `release NAME`.
        former_version: The version that a rollback returns to.
        target_version: The version that all directors are to run.
        start_timeout: The longest time from when a director is taken out until it holds a lease
            again; one that takes longer counts as not started.
        settle_time: The time from a director's start until its status counts in the analysis.
        analysis_timeout: The longest analysis of one wave; without a verdict by then, the rollout
            is held.
        work_duration: How long the work on one director takes, as stated in permit requests.
        request_timeout: How long a permit request waits before a smaller one replaces it.
        min_analysis_time: The shortest analysis of each wave of the canary stage, since some harm
            shows late.
        max_deaths: The number of deaths of one director with the target version that counts as
            harm.
        max_waves_ahead: How many full waves may be changed but unconfirmed after the canary stage.
        canary_share: The share of directors that is changed and confirmed before waves may overlap.
        error_level: The probability of a wrong verdict of the canary analysis, over all waves.
        harm_thresholds: The differences that count as harm, in the order of
            `canary_analysis.MEASURES`: shares of rejected requests, of failed requests and of
            unassigned proxies, and seconds of queue.
    """

    name: str
    former_version: str
    target_version: str
    start_timeout: int = 120 * SECOND
    settle_time: int = 15 * SECOND
    analysis_timeout: int = 900 * SECOND
    work_duration: int = 120 * SECOND
    request_timeout: int = 60 * SECOND
    min_analysis_time: int = 120 * SECOND
    max_deaths: int = 3
    max_waves_ahead: int = 4
    canary_share: float = 0.1
    error_level: float = 0.01
    harm_thresholds: tuple[float, float, float, float] = (0.03, 0.03, 0.2, 1.0)

    @property
    def rollback_name(self) -> str:
        """The release name of permits that are requested for the rollback."""
        return f"{self.name} back"

    @property
    def releases(self) -> tuple[str, str]:
        """The release names of this rollout's permits, forward and back."""
        return self.name, self.rollback_name

    @property
    def scope(self) -> str:
        """The ledger's scope for halts of the rollout."""
        return f"release {self.name}"

    @property
    def rollback_scope(self) -> str:
        """The ledger's scope for halts of the rollback."""
        return f"release {self.rollback_name}"
