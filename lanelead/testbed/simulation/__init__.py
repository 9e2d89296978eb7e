"""Many relays and units in virtual time, around the same decisions: for sizes that sockets don't reach."""
