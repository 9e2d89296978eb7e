"""Experiments: plans of simulated scenarios over factors, policies and seeds, and reports of their results."""
