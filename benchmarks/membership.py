"""Measures membership in virtual time: detection of dead relays, false detections, and cost.

Each run takes `--minutes` of virtual time at one size and message loss, without and with one member in ten being
stopped for 2 s from time to time (each of them once in 20 s on average); then members are killed one after another. The
baseline is SWIM as in its paper, with the same periods: one ping a period, indirect probes requested once, no local
health, no further probes of suspects. Runs are spread over all cores; one seed gives one result.

Run by hand: .venv/bin/python -m benchmarks.membership --sizes 40,400
"""

from __future__ import annotations

import multiprocessing
import os
import time
from typing import NamedTuple

import click

from lanelead.decisions.interface import Ticks
from lanelead.membership.member import Membership
from lanelead.membership.member_state import INDIRECT_PROBES, ROUNDS_PER_PERIOD, MembershipTimings, Suspicion
from lanelead.membership.messages import DEAD, PingRequest
from lanelead.testbed.simulation.membership import SECOND, LinkSettings, SimulatedMembers

TIMINGS = MembershipTimings(3000, 600 * SECOND)


class PlainSwim(Membership):
    """SWIM without the changes of this project and of Lifeguard."""

    def _repeat_probe(self) -> None:
        probing = self._probe
        if (
            probing is None
            or probing.acknowledged
            or probing.target not in self._peer_positions
            or self._round % ROUNDS_PER_PERIOD != 1
        ):
            return
        for helper in self._sample_peers(INDIRECT_PROBES, probing.target):
            self._send(self._address_of(helper), PingRequest(*self._header(), probing.sequence_number, probing.target))

    def _adjust_local_health(self, step: int) -> None:
        pass

    def _suspicion_timeout(self, suspicion: Suspicion) -> Ticks:
        return self._timings.min_suspicion_time(len(self.records))

    def _probes_suspect(self, suspicion: Suspicion, waited: Ticks, wait: Ticks) -> bool:
        return False


class Case(NamedTuple):
    """One run: the implementation (`who`), number of members, message loss, stops, length, kills and seed."""

    who: str
    many: int
    loss: float
    stops: bool
    minutes: float
    kills: int
    seed: int


class Result(NamedTuple):
    """What a run measured."""

    case: Case
    running: int  # running members that any other declared dead
    stopped: int
    suspected: int
    letters: float  # a second, for each relay
    bytes: float
    detection_times: list[float]  # seconds until all knew of each dead member
    seconds: float


def run_case(case: Case) -> Result:
    """Makes one run."""
    began = time.perf_counter()
    kind = PlainSwim if case.who == "SWIM" else Membership
    town = SimulatedMembers(case.many, case.seed, TIMINGS, LinkSettings(loss=case.loss), kind=kind)
    town.run(2 * SECOND)
    first, letters, size = town.now, town.letters, town.bytes
    for _ in range(int(case.minutes * 60)):
        if case.stops:
            for number in range(0, case.many, 10):
                if town.chance.random() < 1 / 20:
                    town.stop(number, 2 * SECOND)
        town.run(town.now + SECOND)
    span = (town.now - first) / SECOND * case.many
    dead = [change.after for _, _, change in town.found if change.after.state == DEAD]
    accused = {(record.number, record.incarnation) for record in dead}
    stopped = {(number, turn) for number, turn in accused if case.stops and number % 10 == 0}
    rates = (town.letters - letters) / span, (town.bytes - size) / span
    suspected = sum(member.counters.suspicions for member in town.members.values())
    detection_times = []
    town.stopped.clear()
    for number in range(case.many - 1, case.many - 1 - case.kills, -1):
        town.run(town.now + int(town.chance.uniform(0.5, 1.5) * SECOND))
        began_at = town.now
        town.kill(number)
        while town.count_unaware_members(number) and town.now < began_at + 60 * SECOND:
            town.run(town.now + SECOND // 20)
        detection_times.append((town.now - began_at) / SECOND)
    return Result(
        case,
        len(accused - stopped),
        len(stopped),
        suspected,
        *rates,
        sorted(detection_times),
        time.perf_counter() - began,
    )


@click.command()
@click.option("--sizes", default="40,400", help="Numbers of relays, separated by commas.")
@click.option("--losses", default="0,0.01,0.05,0.2")
@click.option("--minutes", default=5.0)
@click.option("--kills", default=20)
@click.option("--seeds", default=1)
@click.option("--only", type=click.Choice(["lanelead", "SWIM"]), default=None)
def main(sizes: str, losses: str, minutes: float, kills: int, seeds: int, only: str | None) -> None:
    """Prints a line for each size and loss, with and without stops, for both implementations."""
    cases = [
        Case(who, int(many), float(loss), stops, minutes, min(kills, int(many) // 2), seed)
        for many in sizes.split(",")
        for loss in losses.split(",")
        for stops in (False, True)
        for who in ("lanelead", "SWIM")
        for seed in range(seeds)
        if only in (None, who)
    ]
    click.echo(
        "who        relays  loss  stops  seed  declared dead: running, stopped (an hour)     suspected  "
        "messages/s bytes/s  detection: median   99th  (s)"
    )
    with multiprocessing.Pool(min(len(cases), os.cpu_count() or 1)) as pool:
        for result in pool.imap(run_case, cases, chunksize=1):
            case, hour = result.case, 60 / measured_minutes(result.case)
            median, last = (result.detection_times[int(len(result.detection_times) * q)] for q in (0.5, 0.99))
            click.echo(
                f"{case.who:9}{case.many:8}{case.loss:6.2f}  {'yes' if case.stops else 'no':5}{case.seed:5}"
                f"{result.running * hour:28.0f}{result.stopped * hour:19.0f}{result.suspected:11}"
                f"{result.letters:11.1f}{result.bytes:9.0f}{median:20.2f}{last:6.2f}   {result.seconds:.0f}"
            )


def measured_minutes(case: Case) -> float:
    """Minutes of the run, at least one second, to divide by."""
    return max(case.minutes, 1 / 60)


if __name__ == "__main__":
    main()
