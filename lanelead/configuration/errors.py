"""The base class of this package's errors; each module derives its own errors from it."""

from __future__ import annotations


class ConfigurationError(Exception):
    """An operation on the configuration failed; the text says what went wrong."""
