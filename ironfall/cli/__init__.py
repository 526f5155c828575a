"""The command line, `ironfall COMMAND`. Exit codes: 0 done, 1 a check failed, 2 bad input.

Each group of commands has a module. A command imports what it needs when it runs, to start fast.
"""

from gevent import monkey

monkey.patch_all()

# Each module adds its commands to `main`.
from ironfall.cli import files, fleet, lab, metrics, run, terms  # noqa: E402, F401
from ironfall.cli.common import main  # noqa: E402

__all__ = ["main"]
