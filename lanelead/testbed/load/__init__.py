"""Load generator: an open loop of requests to a relay on sockets, measured without coordinated omission."""
