"""Runs a site's own command that stops and starts its directors.

    COMMAND tell DIRECTOR leaving|staying TOKEN
    COMMAND renew DIRECTOR VERSION TOKEN
    COMMAND runs DIRECTOR                 prints the versions of its running processes

`renew` must return soon and do its work in the background. The command must refuse a token older
than the director's newest, so that a delayed order does not undo a newer one.
"""

import shlex
import subprocess

import gevent.subprocess

TIMEOUT_SECONDS = 10.0
MAX_ERROR_LENGTH = 200  # characters of a failed command's error output that are passed on


class SiteCommand:
    """Implements `SiteActions` with a command; raises `OSError` if it fails or times out."""

    def __init__(self, command: str) -> None:
        """`command` is split as by a shell; the arguments above are appended."""
        self.command = shlex.split(command)

    def _run(self, *arguments: str) -> str:
        try:
            completed = gevent.subprocess.run(
                [*self.command, *arguments],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                timeout=TIMEOUT_SECONDS,
                check=False,
            )
        except gevent.subprocess.TimeoutExpired:
            raise OSError(
                f"{' '.join(arguments)}: not finished in {TIMEOUT_SECONDS:.0f} s"
            ) from None
        if completed.returncode:
            error = completed.stderr.decode("utf-8", "replace").strip()[-MAX_ERROR_LENGTH:]
            raise OSError(f"{' '.join(arguments)}: exit {completed.returncode}: {error}")
        return str(completed.stdout.decode("utf-8", "replace"))

    def set_leaving(self, director: str, is_leaving: bool, token: int) -> None:
        """Tells a director to drain its proxies, or to stay in service."""
        self._run("tell", director, "leaving" if is_leaving else "staying", str(token))

    def install_version(self, director: str, version: str, token: int) -> None:
        """Stops all processes of a director, then starts one of this version."""
        self._run("renew", director, version, str(token))

    def running_versions(self, director: str) -> list[str]:
        """Returns the version of each running process of a director."""
        return self._run("runs", director).split()
