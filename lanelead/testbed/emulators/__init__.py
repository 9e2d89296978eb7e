"""Stand-ins for what a relay meets: units, roster, release desk and clients. They write the capture."""
