"""Runs the decision engine for the simulator over standard input and output."""

import sys

from ironfall.simulator_adapter.frames import MalformedFrameError
from ironfall.simulator_adapter.server import serve

EXIT_MALFORMED_FRAME = 2


def main() -> int:
    """Answers frames until the input ends, and returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedFrameError as error:
        print(f"ironfall.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_FRAME
    return 0


if __name__ == "__main__":
    sys.exit(main())
