"""Scenarios in virtual time with the production decision code, for fleet sizes that real sockets do not reach."""
