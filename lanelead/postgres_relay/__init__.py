"""The relay on the operators' platform: client listener, upstream requests, feeds and signals around one driver."""
