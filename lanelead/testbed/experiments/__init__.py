"""Experiments as data: simulated scenarios under factors and policies, over seeds, with a report."""
