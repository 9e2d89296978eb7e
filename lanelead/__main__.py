"""Runs the command line: `python -m lanelead`."""

from lanelead.cli import main

main(prog_name="lanelead")
