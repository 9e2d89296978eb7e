"""A unit as one relay knows it: what the roster says, and what trips and probes showed. Nothing decides."""

from __future__ import annotations

from collections import deque

from lanelead.interface import Ticks, Trip, Unit
from lanelead.sums import Fading


class Server(Unit):
    def __init__(self, mark: int, span: Ticks, done_span: Ticks, lot: float) -> None:
        super().__init__(mark)
        self.out: dict[Trip, None] = {}  # trips without an end yet, oldest first
        self.listed, self.aside = 0, 0  # when it was, and until when it is set aside
        self.trips, self.strikes, self.pace = Fading(span), Fading(span), Fading(span)
        self.done, self.cold_sends = Fading(done_span), deque[Ticks]()
        self.lot = lot  # rounds its cold budget, up or down
        self.told, self.wait = -1, 0  # when it last answered a probe, and the wait that it told of


def mine(unit: Unit) -> Server:
    assert isinstance(unit, Server)
    return unit
