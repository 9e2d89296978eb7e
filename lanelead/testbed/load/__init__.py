"""An open loop of lookups against a relay on sockets, measured without coordinated omission."""
