"""`ironfall serve`: runs one director on the platform, in the foreground, until SIGTERM."""

import gc
import signal
import sys

import gevent

from ironfall.platform.director import PlatformDirector
from ironfall.platform.log import JsonLog
from ironfall.platform.startup import StartupError, read_startup_config

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_CONFIGURATION = 2


def main() -> int:
    """Runs until a signal or a failure stops the director; returns the exit code."""
    # Installed first, so that a SIGHUP during startup does not terminate the process. gevent runs
    # the handler only once its loop runs: by then the director exists, and reads the file again.
    directors: list[PlatformDirector] = []
    gevent.signal_handler(signal.SIGHUP, lambda: directors[0].reload())
    try:
        config = read_startup_config()
    except StartupError as error:
        print(f"ironfall serve: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    director = PlatformDirector(config, JsonLog(config.name))
    gevent.signal_handler(signal.SIGTERM, director.stop)
    gevent.signal_handler(signal.SIGINT, director.stop)
    directors.append(director)
    try:
        director.start()
    except OSError as error:
        host, port = config.listen
        print(f"ironfall serve: can't listen on {host}:{port}: {error}", file=sys.stderr)
        return EXIT_FAILED
    gc.freeze()  # spares the garbage collector scans of the imported modules, which stay
    director.is_done.wait()
    return EXIT_FAILED if director.has_failed else EXIT_OK
