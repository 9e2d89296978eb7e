"""The command `lanelead load`."""

from __future__ import annotations

import sqlite3
import sys

import click
import uvloop

from lanelead.testbed.load.generator import OUTCOMES, LoadGenerator, LoadResult, Shape


@click.command()
@click.argument("relay")
@click.option("--rate", default=100.0, type=click.FloatRange(0.1, 1e5), help="Requests a second.")
@click.option("--seconds", default=10.0, type=click.FloatRange(0.1, 3600))
@click.option("--method", default="GET")
@click.option("--path", default="/")
@click.option("--member", multiple=True, help="Tenant; if given several times, one is drawn for each request.")
@click.option("--keys", default=0, type=click.IntRange(0), help="Number of different keys to draw from; 0: none.")
@click.option("--body", default=0, type=click.IntRange(0, 1 << 26), help="Bytes of each request's body.")
@click.option("--left", default=0, type=click.IntRange(0), help="Timeout that requests state, in ms; 0: none.")
@click.option("--connections", default=256, type=click.IntRange(1, 20000))
@click.option("--even", is_flag=True, help="Send at even intervals instead of random ones.")
@click.option(
    "--ramp", default=1.0, type=click.FloatRange(0.01, 100), help="Rate at the end, divided by that at the start."
)
@click.option("--seed", default=1, type=click.IntRange(0))
@click.option("-o", "--out", type=click.Path(dir_okay=False), help="SQLite file of experiment results to add to.")
def load(
    relay: str,
    rate: float,
    seconds: float,
    method: str,
    path: str,
    member: tuple[str, ...],
    keys: int,
    body: int,
    left: int,
    connections: int,
    even: bool,
    ramp: float,
    seed: int,
    out: str | None,
) -> None:
    """Send requests to RELAY (HOST:PORT) at a given rate, whether or not it answers.

    Latencies count from when each request was due. Exits with 3 if the generator could not hold the rate: such a run
    shows nothing about the relay.
    """
    host, _, port = relay.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"{relay!r}: expected HOST:PORT")
    shape = Shape(rate, seconds, method.upper(), path, member, keys, body, left, connections, not even, ramp)

    async def run_load() -> LoadResult:
        return await LoadGenerator(shape, host or "127.0.0.1", int(port), seed).run()

    result = uvloop.run(run_load())
    click.echo("outcome | requests | p50 ms | p90 | p99 | p99.9 | most")
    for name in OUTCOMES:
        if result.count(name):
            latency = result.latency[name]
            parts = [latency.get_value_at_percentile(part) / 1000 for part in (50, 90, 99, 99.9, 100)]
            click.echo(f"{name} | {result.count(name)} | {' | '.join(f'{part:.2f}' for part in parts)}")
    lateness = result.lateness
    click.echo(
        f"sent late by {lateness.get_value_at_percentile(50) / 1000:.2f} ms in the median, "
        f"{lateness.get_value_at_percentile(99) / 1000:.2f} in 1 of 100"
    )
    if out is not None:
        keep(out, relay, seed, result)
    reason = result.rate_missed(rate)
    if reason:
        click.echo(f"the rate was not held: {reason}", err=True)
        sys.exit(3)


def keep(file: str, cell: str, seed: int, result: LoadResult) -> None:
    """Adds the figures to an SQLite file, in the form of an experiment's results with the policy "sockets"."""
    from lanelead.testbed.experiments.run import TABLES

    total = max(1, result.total())
    rows = {"done": "done", "shed": "shed", "broken_off": "broken-off"}
    found = {measure: result.count(name) / total for measure, name in rows.items()}
    found["p50_ms"] = result.latency["done"].get_value_at_percentile(50) / 1000
    found["p99_ms"] = result.latency["done"].get_value_at_percentile(99) / 1000
    found["late_ms"] = result.lateness.get_value_at_percentile(99) / 1000
    db = sqlite3.connect(file)
    db.executescript(TABLES)
    values = [(cell, "sockets", seed, measure, value) for measure, value in found.items()]
    db.executemany("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", values)
    db.commit()
    db.close()
