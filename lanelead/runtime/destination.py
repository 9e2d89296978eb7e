"""The address at which an endpoint listens."""

from __future__ import annotations

from dataclasses import dataclass

from lanelead.decisions.interface import Ticks


@dataclass(slots=True, frozen=True)
class Destination:
    """An endpoint's address, and its incarnation: an endpoint may restart at its address with another build."""

    host: str
    port: int
    build: int
    started_at: Ticks  # by the driver's clock; 0 if the endpoint list does not tell
