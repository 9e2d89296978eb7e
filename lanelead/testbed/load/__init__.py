"""An open loop of requests against a relay on sockets, measured without coordinated omission."""
