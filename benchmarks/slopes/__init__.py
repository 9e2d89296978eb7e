"""Measures how costs grow with size, as the basis of docs/CAPACITY.md."""
