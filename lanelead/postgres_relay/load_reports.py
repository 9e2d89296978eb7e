"""Endpoints' load reports, and whether a socket has anything to read."""

from __future__ import annotations

import math
import socket

from lanelead.decisions.interface import LoadReport


def parse_load_report(text: bytes | None, names: frozenset[str]) -> LoadReport | None:
    """The fields in `names` of a report `name=value,name=value`; None where it has none or cannot be read."""
    if not text or not names:
        return None
    report: LoadReport = {}
    for pair in text.split(b","):
        name, separator, number = pair.partition(b"=")
        try:
            value = float(number)
        except ValueError:
            return None
        if not separator or not math.isfinite(value) or value < 0:
            return None
        field = name.decode("latin-1").strip()
        if field in names:
            report[field] = value
    return report or None


def is_idle_socket(sock: socket.socket) -> bool:
    """Nothing waits to be read, and the other end has not closed."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        pass
    return False
