"""Verifies the five rules from a recording alone, with one module per rule."""
