"""Scripted days: who runs, what is asked and what goes wrong; played on loopback, judged from the capture."""
