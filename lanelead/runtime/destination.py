"""Where an endpoint listens."""

from __future__ import annotations

from dataclasses import dataclass

from lanelead.decisions.interface import Ticks


@dataclass(slots=True, frozen=True)
class Destination:
    """An endpoint's address and the incarnation that was listed there: it may restart with another build."""

    host: str
    port: int
    build: int
    started_at: Ticks  # 0 if not listed
