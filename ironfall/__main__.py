import sys

if sys.argv[1:] == ["serve"]:
    # Without the command line's libraries: on the platform a director has part of a core and little memory.
    from ironfall.platform.program import main as serve

    sys.exit(serve())

from ironfall.cli import main

main()
