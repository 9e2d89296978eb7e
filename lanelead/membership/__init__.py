"""Which relays are there, in which life, and where: membership without sockets or clocks."""
