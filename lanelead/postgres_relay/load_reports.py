"""What units tell of themselves, and whether a connection stands still."""

from __future__ import annotations

import math
import socket

from lanelead.decisions.interface import LoadReport


def parse_load_report(text: bytes | None, names: frozenset[str]) -> LoadReport | None:
    """The figures that the settings name; None where there is no report that can be read."""
    if not text or not names:
        return None
    found: LoadReport = {}
    for pair in text.split(b","):
        name, mark, word = pair.partition(b"=")
        try:
            value = float(word)
        except ValueError:
            return None
        if not mark or not math.isfinite(value) or value < 0:
            return None
        if (known := name.decode("latin-1").strip()) in names:
            found[known] = value
    return found or None


def is_idle_socket(sock: socket.socket) -> bool:
    """Nothing waits to be read, nor has the other end gone."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        pass
    return False
