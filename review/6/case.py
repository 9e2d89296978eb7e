"""Discovery answers each call 0.8 s late; a unit begins to drain, and the relay is never told."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

from standins_2 import Unit, World, main, verdict

DELAY_SECONDS = 0.8
TOLD_AFTER_SECONDS = 6.0  # discovery had the change and could be reached: it counts as told by then
GRACE_SECONDS = 2.0 + 0.05  # `contract.drainGraceMs`, and the 50 ms of the page
CALM_SECONDS = 6.0
WATCHED_SECONDS = 16.0


def busiest(world: World) -> Unit:
    """Returns the unit that the relay has sent the most to: one that it does not use would show nothing."""
    sent = Counter(event["unit"] for event in world.record.of("attempt"))
    return max(world.units, key=lambda unit: sent[unit.name])


async def play() -> int:
    """Plays the case and returns the exit code."""
    world = World(Path(__file__).parent)
    try:
        await world.open()
        load = asyncio.create_task(world.load(6, CALM_SECONDS + WATCHED_SECONDS))
        if os.environ.get("TROUBLE") != "0":
            world.discovery.delay = DELAY_SECONDS
            world.record.add("discovery is slow", seconds=DELAY_SECONDS)
        await asyncio.sleep(CALM_SECONDS)
        drained = busiest(world)
        await world.discovery.change(drained, state="leaving")
        began = world.record.now()
        await load
        latest = began + TOLD_AFTER_SECONDS + GRACE_SECONDS
        late = [event for event in world.record.of("attempt") if event["unit"] == drained.name and event["at"] > latest]
        served = [event for event in world.record.of("answer") if event["outcome"] == "served"]
        broken = [
            f"{event['id']} was sent to {event['unit']} {event['at'] - began:.2f} s after the drain" for event in late
        ]
        world.record.add(
            "verdict", drain_began=began, sends_count_from=latest, late_sends=len(late), served=len(served)
        )
        return verdict(broken, could_run=len(served) > 100)
    finally:
        await world.close()


if __name__ == "__main__":
    sys.exit(main(play))
