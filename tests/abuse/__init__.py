"""Abusive clients of both relays: what they send, the process that runs them, and the player that measures a relay."""
