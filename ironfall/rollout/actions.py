"""How a rollout acts on the ledger and on directors."""

from typing import Protocol


class RolloutActions(Protocol):
    """Each action may be repeated with the same arguments.

    All raise `OSError` where nobody answers. Those that return a text return the ledger's refusal,
    or nothing.
    """

    def request_permits(self, targets: list[str], duration: int, release: str) -> str:
        """Requests permits for all targets together; `duration` in ticks."""
        ...

    def cancel_request(self, request: str) -> str:
        """Withdraws a request that waits."""
        ...

    def advance_permit(self, step: str, director: str, token: int) -> int:
        """Takes the step `drain`, `out` or `back`; returns the new token, 0 where refused."""
        ...

    def adopt_permit(self, director: str) -> str:
        """Takes over a permit whose holder was lost."""
        ...

    def report_harm(self, release: str, reason: str) -> str:
        """Reports a harmful release; the ledger halts it."""
        ...

    def halt(self, scope: str, reason: str) -> str:
        """Halts a scope until a person lifts it."""
        ...

    def set_leaving(self, director: str, is_leaving: bool, token: int) -> None:
        """Tells a director to drain its proxies, or to stay."""
        ...

    def install_version(self, director: str, version: str, token: int) -> None:
        """Stops all processes of a director and starts this version."""
        ...

    def running_versions(self, director: str) -> list[str]:
        """Returns the version of each running process of a director: more than one is a fault."""
        ...

    def log_event(self, event: str, **fields: object) -> None:
        """Logs an event for operators."""
        ...
