from lanelead.cli import main

main(prog_name="lanelead")
