"""Entry point `python -m lanelead`: runs the command line."""

from lanelead.cli import main

main(prog_name="lanelead")
