"""Ordered schema and data migrations: plans, their log, and the runner that carries them out."""
