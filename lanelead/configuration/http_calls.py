"""What a replica's HTTP calls have in common: rejections, watch connections and query parameters."""

from __future__ import annotations

from dataclasses import dataclass

from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.configuration import RejectedProposal
from lanelead.protocols.feeds import MessageError

MAX_DIGITS = 15
REJECTION_STATUS = {"malformed": 400, "stale": 409, "unknown": 504, "overloaded": 503, "abstains": 503}


def integer_parameter(query: dict[str, str], name: str) -> int:
    """A whole number of a query. Raises MessageError."""
    text = query.get(name, "")
    if not text.isdecimal() or len(text) > MAX_DIGITS:
        raise MessageError(f"{name}: {text[:40]!r}; must be a whole number")
    return int(text)


def bucket_numbers(query: dict[str, str]) -> list[int]:
    """The list `numbers` of a query. Raises MessageError."""
    parts = query.get("numbers", "").split(",")
    return [integer_parameter({"numbers": part}, "numbers") for part in parts]


class RejectedCallError(ConfigurationError):
    """A call that is answered with a rejection and its HTTP status."""

    def __init__(self, refusal: RejectedProposal, status: int | None = None) -> None:
        self.refusal, self.status = refusal, status or REJECTION_STATUS[refusal.reason]


@dataclass
class Watcher:
    """A watch connection: the version it stands at, and when it was last written to."""

    position: int | None
    written_at: float
