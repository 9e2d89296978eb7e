"""What a replica's HTTP calls have in common: rejections, watch connections and query parameters."""

from __future__ import annotations

from dataclasses import dataclass

from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.configuration import RejectedProposal
from lanelead.protocols.feeds import MessageError

MAX_DIGITS = 15  # of a number in a query
REJECTION_STATUS = {"malformed": 400, "stale": 409, "unknown": 504, "overloaded": 503, "abstains": 503}


def integer_parameter(query: dict[str, str], name: str) -> int:
    """Reads a non-negative integer from a query. Raises MessageError."""
    text = query.get(name, "")
    if not text.isdecimal() or len(text) > MAX_DIGITS:
        raise MessageError(f"{name}: {text[:40]!r}; expected a non-negative integer")
    return int(text)


def bucket_numbers(query: dict[str, str]) -> list[int]:
    """Reads the comma-separated list `numbers` from a query. Raises MessageError."""
    parts = query.get("numbers", "").split(",")
    return [integer_parameter({"numbers": part}, "numbers") for part in parts]


class RejectedCallError(ConfigurationError):
    """An HTTP call is answered with this rejection, and a status that follows from its reason if none is given."""

    def __init__(self, rejection: RejectedProposal, status: int | None = None) -> None:
        self.rejection, self.status = rejection, status or REJECTION_STATUS[rejection.reason]


@dataclass
class Watcher:
    """A watch connection.

    `position` is the last version sent, or None if the follower must repair. `written_at` is the time of the last line
    in seconds; it is negative until the first.
    """

    position: int | None
    written_at: float
