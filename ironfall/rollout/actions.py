"""The operations of a rollout on the ledger and on directors."""

from typing import Protocol


class RolloutActions(Protocol):
    """Operations that are safe to repeat with the same arguments.

    All of them raise `OSError` if the coordinators or the site do not answer. Those that return a
    string return the ledger's reason for a refusal, empty if the operation was accepted.
    """

    def request_permits(self, targets: list[str], duration: int, release: str) -> str:
        """Requests permits for all targets together; `duration` is in ticks."""
        ...

    def cancel_request(self, request: str) -> str:
        """Withdraws a waiting request."""
        ...

    def advance_permit(self, step: str, director: str, token: int) -> int:
        """Takes the step `drain`, `out` or `back`; returns the new token, 0 if refused."""
        ...

    def adopt_permit(self, director: str) -> str:
        """Takes over a permit whose holder lost its lease."""
        ...

    def report_harm(self, release: str, reason: str) -> str:
        """Reports that a release does harm; the ledger then halts it."""
        ...

    def halt(self, scope: str, reason: str) -> str:
        """Halts a scope until an operator lifts the halt."""
        ...

    def set_leaving(self, director: str, is_leaving: bool, token: int) -> None:
        """Tells a director to drain its proxies, or to stay in service."""
        ...

    def install_version(self, director: str, version: str, token: int) -> None:
        """Stops all processes of a director, then starts one of this version."""
        ...

    def running_versions(self, director: str) -> list[str]:
        """Returns the version of each running process; more than one process is a fault."""
        ...

    def log_event(self, event: str, **fields: object) -> None:
        """Logs an event for operators."""
        ...
