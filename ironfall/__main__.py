"""Starts the command line; `serve` without the libraries that only other commands need."""

import sys

if sys.argv[1:] == ["serve"]:
    # On the platform a director has a part of a core and little memory.
    from ironfall.platform.program import main as serve

    sys.exit(serve())

from ironfall.cli import main

main()
