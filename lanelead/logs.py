"""Structured logging with structlog: JSON lines for machines, or readable text for a console."""

from __future__ import annotations

import sys
from typing import Any

import structlog


def logger(form: str, **bound: Any) -> Any:
    """Configures structlog and returns a logger to standard error.

    `form` is "json" or "console"; the fields `bound` are added to each line.
    """
    renderer: Any = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**bound)
