"""How costs grow with size: what docs/CAPACITY.md is worked out from."""
