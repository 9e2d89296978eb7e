"""Experiments as data: days in the model under factors and policies, over seeds, with a report."""
