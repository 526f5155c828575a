"""What an operator asks a rollout to do, and the limits it keeps to."""

from dataclasses import dataclass

SECOND = 10_000  # ticks of a tenth of a millisecond


@dataclass(frozen=True)
class RolloutPlan:
    """One rollout of the directors to a version. Durations are ticks of a tenth of a ms.

    Attributes:
        name: Names the rollout's scope in the ledger: `release NAME`.
        former_version: The version that a rollback returns to.
        target_version: The version that all directors are to run.
        start_timeout: From being let out to holding a lease; a director that takes longer never
            came up.
        settle_time: From its lease until a director's status counts.
        analysis_timeout: The longest analysis of one wave; without a verdict the rollout is then
            held.
        work_duration: How long the work on one director takes, as told to the ledger.
        request_patience: How long a permit request waits before it is made smaller.
        min_analysis_time: The shortest analysis of each wave of the canary stage: some harm shows
            late.
        max_deaths: As many deaths of one director with the target version are harm.
        max_waves_ahead: Full waves that may be changed and unconfirmed once the canary stage is
            confirmed.
        canary_share: The share of directors that is changed and confirmed before waves may overlap.
        error_level: The probability of a wrong verdict by the figures, over all waves.
        harm_thresholds: The differences that count as harm, in the order of
            `canary_analysis.MEASURES`: shares rejected, failed and unassigned, seconds of queue.
    """

    name: str
    former_version: str
    target_version: str
    start_timeout: int = 120 * SECOND
    settle_time: int = 15 * SECOND
    analysis_timeout: int = 900 * SECOND
    work_duration: int = 120 * SECOND
    request_patience: int = 60 * SECOND
    min_analysis_time: int = 120 * SECOND
    max_deaths: int = 3
    max_waves_ahead: int = 4
    canary_share: float = 0.1
    error_level: float = 0.01
    harm_thresholds: tuple[float, float, float, float] = (0.03, 0.03, 0.2, 1.0)

    @property
    def rollback_name(self) -> str:
        """The name under which permits for the way back are requested."""
        return f"{self.name} back"

    @property
    def releases(self) -> tuple[str, str]:
        """The names under which permits of this rollout stand, forward and back."""
        return self.name, self.rollback_name

    @property
    def scope(self) -> str:
        """The ledger's scope for halts of the way forward."""
        return f"release {self.name}"

    @property
    def rollback_scope(self) -> str:
        """The ledger's scope for halts of the way back."""
        return f"release {self.rollback_name}"
