"""Ordered schema and data migrations: plans, the log of their steps, and the runner that executes them."""
