"""The root of this package's errors: each module's own errors derive from it."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Something about the configuration could not be done; the text says what went wrong."""
