"""A site's own command as the hands of a release.

    COMMAND tell DIRECTOR leaving|staying TOKEN
    COMMAND renew DIRECTOR VERSION TOKEN
    COMMAND runs DIRECTOR                        prints the versions that its processes were started as

`renew` must return soon and do its work elsewhere; the command refuses a token that is older than the newest of that
director, as what was told late must not undo what was told since.
"""

import shlex
import subprocess

import gevent.subprocess

SECONDS = 10.0


class CommandHands:
    """`Hands`; raises `OSError` where the command fails, and the release tries again at its next look."""

    def __init__(self, command: str) -> None:
        self.command = shlex.split(command)

    def _do(self, *words: str) -> str:
        try:
            done = gevent.subprocess.run(
                [*self.command, *words],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                timeout=SECONDS,
                check=False,
            )
        except gevent.subprocess.TimeoutExpired:
            raise OSError(f"{' '.join(words)}: no end within {SECONDS:.0f} s") from None
        if done.returncode:
            said = done.stderr.decode("utf-8", "replace").strip()[-200:]
            raise OSError(f"{' '.join(words)}: exit {done.returncode}: {said}")
        return str(done.stdout.decode("utf-8", "replace"))

    def tell(self, director: str, leaving: bool, token: int) -> None:
        self._do("tell", director, "leaving" if leaving else "staying", str(token))

    def renew(self, director: str, version: str, token: int) -> None:
        self._do("renew", director, version, str(token))

    def runs(self, director: str) -> list[str]:
        return self._do("runs", director).split()
