"""Messages between relays, discovery, rollout platform, stores, replicas, endpoints and clients.

docs/protocols.md has them in words.
"""
