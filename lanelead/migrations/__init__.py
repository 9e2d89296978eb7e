"""Ordered schema and data steps: a plan, its record, who runs it, and which builds may get traffic."""
