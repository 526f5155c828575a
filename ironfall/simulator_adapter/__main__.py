import sys

from ironfall.simulator_adapter.wire import Malformed, serve


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as wrong:
        print(f"ironfall.simulator_adapter: {wrong}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
