"""The messages that relays, discovery, rollout platform, stores, replicas, endpoints and clients exchange, as types.

docs/protocols.md describes the protocols.
"""
