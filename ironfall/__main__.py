from ironfall.cli import main

main()
