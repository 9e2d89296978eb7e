"""A planned restart while bad clients send at full speed: the relay reads them to the end, and answers nobody."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from standins_2 import World, main, verdict

RELAYS = 4  # of which one is restarted
CLIENTS = 60  # bad ones
PROCESSES = 2  # that they are spread over
COMMANDS = 900  # of each
VALUE_BYTES = 60_000  # values of 64 KiB at most
CALM_SECONDS = 4.0
BAD_SECONDS = 1.0  # before SIGTERM
KILL_SECONDS = 3.7  # after SIGTERM: the longest time of a request counts as 3 s, and 0.7 s more
LATE_SECONDS = 0.5 + 0.05  # after its time a request is lost


async def crowd(world: World, name: str) -> None:
    """Runs the bad clients of one process until they have ended."""
    arguments = (world.relay.port, CLIENTS // PROCESSES, COMMANDS, VALUE_BYTES, name)
    process = await asyncio.create_subprocess_exec(
        sys.executable, Path(__file__).parents[1] / "crowd_2.py", *(str(argument) for argument in arguments)
    )
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def restart(world: World) -> float:
    """Ends the relay as a planned restart does, and returns when SIGTERM was sent."""
    assert world.relay.process is not None
    world.relay.signal(signal.SIGTERM)
    at = world.record.now()
    try:
        async with asyncio.timeout(KILL_SECONDS):
            await world.relay.process.wait()
        world.record.add("the relay has ended")
    except TimeoutError:
        world.relay.signal(signal.SIGKILL)
        await world.relay.process.wait()
    return at


def lost_requests(world: World, stopped_at: float) -> list[str]:
    """Returns the requests without an answer in time, whose connection stood and whose time ended before SIGKILL.

    A request whose connection the relay ended is left out: the close may have crossed it.
    """
    sent = {event["id"]: event for event in world.record.of("sent")}
    lost = []
    for answer in world.record.of("answer"):
        request = sent.get(answer["id"])
        if request is None or answer["outcome"] == "closed":
            continue
        due = request["at"] + request["d"] / 1000 + LATE_SECONDS
        late = answer["outcome"] == "never" or answer["at"] > due
        if late and due < stopped_at + KILL_SECONDS:
            lost.append(
                f"{answer['id']} came {request['at'] - stopped_at:+.2f} s from SIGTERM with {request['d']} ms left: "
                f"{answer['outcome']}, {answer['at'] - request['at']:.2f} s later"
            )
    return lost


async def play() -> int:
    """Plays the case and returns the exit code."""
    world = World(Path(__file__).parent, work=0.25)
    try:
        await world.open(RELAYS)
        load = asyncio.create_task(world.load(30, CALM_SECONDS + BAD_SECONDS + 1, share_of_limit=0.4))
        await asyncio.sleep(CALM_SECONDS)
        if os.environ.get("TROUBLE") != "0":
            for number in range(PROCESSES):
                world.start(crowd(world, f"bad{number}-"))
        await asyncio.sleep(BAD_SECONDS)
        stopped_at = await restart(world)
        await load
        served = [event for event in world.record.of("answer") if event["outcome"] == "served"]
        broken = lost_requests(world, stopped_at)
        world.record.add("verdict", stopped_at=stopped_at, served=len(served), lost=len(broken))
        return verdict(broken, could_run=len(served) > 50)
    finally:
        await world.close()


if __name__ == "__main__":
    sys.exit(main(play))
