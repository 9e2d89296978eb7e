"""The decisions of a relay, without I/O: `rules` joins them, `interface` has what passes at its door."""
