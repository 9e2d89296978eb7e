"""Answers now and then come a second time, 3 ms late; over HTTP they are taken for the answers to other requests."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

from standins import Record, free_port, main, verdict
from web import Client, Discovery, Endpoint, Process, Rollout, response, write_settings

SECONDS = 25.0
LATE_SECONDS = 0.003
EVERY = 20  # one answer of so many comes twice
FULL = 0.15  # of the requests are turned away, since the queue is full; these never run


class Twice:
    """The behaviour of an endpoint whose queue is full at times, and some of whose answers come a second time."""

    def __init__(self, copies: bool) -> None:
        self.copies = copies
        self._rng = Random(7)
        self.count = 0

    async def __call__(self, endpoint: Endpoint, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Runs a request and answers it once, or twice."""
        if self._rng.random() < FULL:
            answer = response(503, b"queue full", Lanelead_Turned_Away="1")
        else:
            await asyncio.sleep(endpoint.work)
            endpoint.record.add("ran", unit=endpoint.name, id=request_id)
            answer = response(200, endpoint.value(request_id))
        writer.write(answer)
        if self.copies and self._rng.random() < 1 / EVERY:
            self.count += 1
            endpoint.record.add("second answer", unit=endpoint.name, id=request_id, late_s=LATE_SECONDS)
            asyncio.get_running_loop().call_later(LATE_SECONDS, writer.write, answer)


async def play() -> int:
    """Plays the case and returns the exit code."""
    record = Record(Path(__file__).parent / "record.txt")
    endpoints = [Endpoint(record, f"u-{number}", 1) for number in range(4)]
    twice = Twice(os.environ.get("TROUBLE") != "0")
    for endpoint in endpoints:
        endpoint.behaviour = twice
    discovery = Discovery(record, endpoints)
    rollout = Rollout(record, build=1, stage=3, phase="released", cap=1.0)
    for server in (*endpoints, discovery, rollout):
        await server.open()
    port = free_port()
    with tempfile.TemporaryDirectory() as temporary:
        file = Path(temporary) / "relay.cue"
        write_settings(file, port, ["offer-status", "offer-submit"], roster=discovery.port, desk=rollout.port)
        relay = Process(record, Path(temporary), "relay", "relay", "--settings", str(file))
        try:
            await relay.start()
            await asyncio.gather(*(ask_on(Client(record, port, f"c{number}"), number) for number in range(8)))
        finally:
            await relay.kill()
    answers = record.of("answer")
    foreign = record.of("foreign value")
    submits = {event["id"] for event in record.of("sent") if event["method"] == "POST"}
    runs = Counter(event["id"] for event in record.of("ran") if event["id"] in submits)
    repeated = {request_id: count for request_id, count in runs.items() if count > 1}
    broken = [f"the offer of {request_id} was filed {count} times" for request_id, count in repeated.items()]
    broken += [f"{event['id']} was served with {event['value']!r}" for event in foreign]
    counts = {"answers": len(answers), "second_answers": twice.count}
    record.add("verdict", **counts, foreign=len(foreign), filed_twice=len(repeated))
    record.close()
    return verdict(broken, could_run=sum(event["outcome"] == "done" for event in answers) > 100)


async def ask_on(client: Client, number: int) -> None:
    """Lets a client ask one request after another."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    count = 0
    while loop.time() < end:
        count += 1
        submit = count % 3 == 0
        request_id = f"c{number}-{count}"
        await client.ask(request_id, "POST" if submit else "GET", "/offers", 4.0 if submit else 6.0)
        await asyncio.sleep(0.01)
    client.drop()


if __name__ == "__main__":
    sys.exit(main(play))
