"""`ironfall VERB`: the programs and their tools. Exit codes: 0 done, 1 a rule or check failed, 2 bad input.

One module for each family of verbs; what a verb needs is imported when it runs.
"""

from gevent import monkey

monkey.patch_all()

from ironfall.cli import files, fleet, lab, metrics, run, terms  # noqa: E402, F401 - each adds its commands to `main`
from ironfall.cli.common import main  # noqa: E402

__all__ = ["main"]
