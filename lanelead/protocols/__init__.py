"""What passes between relays, the roster, the release desk, units and clients; docs/protocols.md has it in
words."""
