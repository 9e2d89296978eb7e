"""SWIM-like membership of relays: state, incarnation and address of each, without sockets or clocks."""
