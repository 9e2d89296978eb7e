"""Versioned configuration: replicas that agree on changes, and relays that follow them."""
