"""Structured logging to standard error: JSON lines for machines, or readable text (structlog) for a console.

A line that cannot be written, since the disk is full or nobody reads, is dropped and counted: it never ends a process
or the handling of an event.
"""

from __future__ import annotations

import json
import os
import sys
import traceback
from datetime import UTC, datetime
from typing import Any

STANDARD_ERROR_DESCRIPTOR = 2


class LogWriter:
    """Writes lines to a file descriptor, without a buffer. `dropped_lines` counts those that could not be written."""

    def __init__(self, descriptor: int = STANDARD_ERROR_DESCRIPTOR) -> None:
        self._descriptor = descriptor
        self._after_partial_line = False
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Writes a line, or what structlog passes of one. Never raises OSError."""
        unwritten = text.encode("utf-8", "backslashreplace")
        if self._after_partial_line:
            unwritten = b"\n" + unwritten
        size = len(unwritten)
        try:
            while unwritten:
                unwritten = unwritten[os.write(self._descriptor, unwritten) :]
            self._after_partial_line = False
        except OSError:
            self.dropped_lines += 1
            self._after_partial_line |= len(unwritten) < size

    def flush(self) -> None:
        """Does nothing, since there is no buffer."""


class JsonLogger:
    """A logger with the methods of structlog's that are used here. The fields of `bind` are added to each line."""

    def __init__(self, writer: LogWriter, bound: dict[str, Any]) -> None:
        self.writer = writer
        self._bound = bound

    def bind(self, **fields: Any) -> JsonLogger:
        """Returns a logger that adds these fields too."""
        return JsonLogger(self.writer, {**self._bound, **fields})

    def info(self, event: str, **fields: Any) -> None:
        """Logs an event."""
        self._log("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs an event that an operator may have to act on."""
        self._log("warning", event, fields)

    def error(self, event: str, exc_info: BaseException | None = None, **fields: Any) -> None:
        """Logs a fault, with the traceback of `exc_info`."""
        if exc_info is not None:
            fields["exception"] = "".join(traceback.format_exception(exc_info)).rstrip()
        self._log("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Logs a fault with the traceback of the exception that is being handled."""
        self.error(event, sys.exc_info()[1], **fields)

    def _log(self, level: str, event: str, fields: dict[str, Any]) -> None:
        timestamp = datetime.now(UTC).isoformat(timespec="microseconds").replace("+00:00", "Z")
        line = {**self._bound, **fields, "event": event, "level": level, "timestamp": timestamp}
        if self.writer.dropped_lines:
            line["dropped_log_lines"] = self.writer.dropped_lines
        self.writer.write(json.dumps(line, default=repr) + "\n")


def logger(form: str, **bound: Any) -> Any:
    """Returns a logger to standard error, of the form "json" or "console"; `bound` is added to each line."""
    if form == "json":
        return JsonLogger(LogWriter(), bound)
    import structlog  # only for a console, since it takes some 2 MB

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.dev.ConsoleRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=LogWriter()),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**bound)
