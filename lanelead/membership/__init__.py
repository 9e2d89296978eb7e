"""Which relays are there, in which incarnation, and where: SWIM-like membership without sockets or clocks."""
