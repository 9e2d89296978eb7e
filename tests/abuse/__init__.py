"""Abusive clients of both relays: what they send, their process, and how a relay is measured beside them."""
