"""lanelead: relays that route lookups while builds are replaced, and vote each build on or back."""
