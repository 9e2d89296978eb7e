"""Measures membership: its cost for a member, the time until all know of a loss, and the state after a partition.

The members are those of the relays (lanelead/membership). Network and clock are simulated, so that waiting times are
virtual and one seed gives one result; processor time is measured around the members' own calls.
"""

from __future__ import annotations

import gc
import time
from random import Random
from statistics import median
from typing import NamedTuple

from benchmarks.membership import TIMINGS
from benchmarks.slopes.series import Series, traced_mb
from lanelead.decisions.interface import Ticks
from lanelead.membership.member import Membership
from lanelead.membership.member_state import Address
from lanelead.membership.messages import MemberRecord
from lanelead.testbed.simulation.membership import SECOND, LinkSettings, SimulatedMembers

SUBJECT = "membership"
SIZES = (8, 40, 200, 600)
SEED = 37
QUIET_SECONDS = 20  # length of the measurement without failures
KILLS = 5
CHURN_SECONDS = 60  # in which a tenth restarts every 10 s
DOWN_SECONDS = 1  # from a kill to the restart
DETECTION_LIMIT = 120  # seconds after which the wait for a detection ends
APART_SECONDS = 3600  # seconds
REUNION_LIMIT = 300  # seconds after which the wait for the halves to rejoin ends


class TimedMember(Membership):
    """A member that measures its processor time; the counters are shared by all members."""

    spent = 0  # ns
    most = 0  # ns, of one call

    def receive(self, text: bytes, source: Address, now: Ticks) -> None:
        began = time.process_time_ns()
        super().receive(text, source, now)
        _count(time.process_time_ns() - began)

    def tick(self, now: Ticks) -> None:
        began = time.process_time_ns()
        super().tick(now)
        _count(time.process_time_ns() - began)


def _count(spent: int) -> None:
    TimedMember.spent += spent
    TimedMember.most = max(TimedMember.most, spent)


class Rates(NamedTuple):
    """Rates of one member, the mean over all, by second."""

    letters: float
    bytes: float
    share: float  # of a core


class Meter:
    """Counts messages, bytes and processor time from its creation on."""

    def __init__(self, town: SimulatedMembers) -> None:
        self._town, self._began = town, town.now
        self._letters, self._bytes, self._spent = town.letters, town.bytes, TimedMember.spent

    def rates(self) -> Rates:
        """Rates of one member since the meter's creation."""
        town = self._town
        span = (town.now - self._began) / SECOND * max(1, len(town.members))
        spent = (TimedMember.spent - self._spent) / 1e9
        return Rates((town.letters - self._letters) / span, (town.bytes - self._bytes) / span, spent / span)

    def total(self) -> int:
        """Bytes of all members since the meter's creation."""
        return self._town.bytes - self._bytes


class Results:
    """Points of each series, by size."""

    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}

    def add(self, name: str, size: float, value: float) -> None:
        """Adds a point."""
        self.points.setdefault(name, []).append((float(size), value))

    def rates(self, name: str, size: int, rates: Rates) -> None:
        """Adds a point for each rate."""
        for part, value in zip(rates._fields, rates, strict=True):
            self.add(f"{name}.{part}", size, value)


def town_of(many: int, loss: float = 0.0) -> SimulatedMembers:
    """A group of members after its first seconds, when all know of all."""
    gc.collect()
    town = SimulatedMembers(many, SEED, TIMINGS, LinkSettings(loss=loss), kind=TimedMember)
    town.run(2 * SECOND)
    return town


def known_after(town: SimulatedMembers, gone: list[int], limit: int) -> float | None:
    """Virtual seconds until no member takes any of these to be alive; None if it takes longer than the limit."""
    began = town.now
    while any(town.count_unaware_members(number) for number in gone):
        if town.now - began >= limit * SECOND:
            return None
        town.run(town.now + SECOND // 20)
    return (town.now - began) / SECOND


def measure_quiet(many: int, loss: float, results: Results) -> None:
    """Measures a group without failures, and then the detection of single failures."""
    town, word = town_of(many, loss), "quiet" if not loss else "lossy"
    meter = Meter(town)
    town.run(town.now + QUIET_SECONDS * SECOND)
    results.rates(word, many, meter.rates())
    took = []
    for number in range(many - 1, many - 1 - min(KILLS, many // 2), -1):
        town.run(town.now + int(town.chance.uniform(0.5, 1.5) * SECOND))
        town.kill(number)
        took.append(known_after(town, [number], DETECTION_LIMIT) or float(DETECTION_LIMIT))
    results.add(f"{word}.death.known", many, median(took))
    results.add(f"{word}.death.known.last", many, max(took))


def measure_churn(many: int, results: Results) -> None:
    """Kills another tenth every 10 s; each starts again a second later with its settings only."""
    town, meter, missing, worst = town_of(many), None, list[float](), 0.0
    tenth = max(1, many // 10)
    for second in range(CHURN_SECONDS):
        turn, phase = divmod(second, 10)
        chosen = [(turn * tenth + place) % many for place in range(tenth)]
        if phase == 0:
            for number in chosen:
                town.kill(number)
        if phase == DOWN_SECONDS:
            for number in chosen:
                town.start(number, 2 + turn * tenth // many + second)
        meter = meter or Meter(town)
        one = Meter(town)
        town.run(town.now + SECOND)
        worst = max(worst, one.rates().bytes)
        if phase == 9:
            away = sum(len(town.members) - len(view) for view in town.views())
            missing.append(max(0.0, away / len(town.members) ** 2))
    assert meter is not None
    results.rates("churn", many, meter.rates())
    results.add("churn.bytes.worst", many, worst)
    results.add("churn.unknown", many, sum(missing) / len(missing))


def measure_zone_loss(many: int, results: Results) -> None:
    """Kills a quarter of the members at once."""
    town = town_of(many)
    gone = [number for number in range(many) if number % 4 == 3]
    for number in gone:
        town.kill(number)
    meter, worst, began = Meter(town), 0.0, town.now
    while any(town.count_unaware_members(number) for number in gone) and town.now < began + DETECTION_LIMIT * SECOND:
        one = Meter(town)
        town.run(town.now + SECOND)
        worst = max(worst, one.rates().bytes)
    results.add("zone.known", many, (town.now - began) / SECOND)
    results.rates("zone", many, meter.rates())
    results.add("zone.bytes.worst", many, worst)


def measure_partition(many: int, seconds: int, results: Results, word: str) -> bool:
    """Separates two halves for so long and rejoins them; whether all members know of all in the end."""
    town = town_of(many)
    town.wires.cut = lambda sender, receiver: sender % 2 != receiver % 2
    town.run(town.now + min(seconds, 60) * SECOND)
    if seconds > 60:
        meter = Meter(town)
        town.run(town.now + (seconds - 60) * SECOND)
        results.rates(f"{word}.meanwhile", many, meter.rates())
    rows = sum(len(member.records) for member in town.members.values()) / many
    results.add(f"{word}.rows", many, rows)
    there = sum(len(view) for view in town.views()) / many
    results.add(f"{word}.there", many, there)
    town.wires.cut = lambda sender, receiver: False
    meter, began, worst = Meter(town), town.now, 0.0
    while not town.all_tables_correct() and town.now < began + REUNION_LIMIT * SECOND:
        one = Meter(town)
        town.run(town.now + SECOND)
        worst = max(worst, one.rates().bytes)
    met = town.all_tables_correct()
    if met:
        results.add(f"{word}.reunion", many, (town.now - began) / SECOND)
        results.add(f"{word}.reunion.total", many, meter.total() / many)
        results.add(f"{word}.reunion.worst", many, worst)
        results.rates(f"{word}.reunion", many, meter.rates())
    return met


def measure_memory(many: int, results: Results) -> None:
    """Measures the memory of a member that knows of all others."""

    def one() -> Membership:
        rows = [MemberRecord(n, 1_700_000_000_000 + n, 0, 0, False, "a", "a", f"10.0.{n}", 7946) for n in range(many)]
        return Membership(own=rows[0], timings=TIMINGS, seeds=[], rng=Random(SEED), now=0, known=rows[1:])

    results.add("memory", many, traced_mb(one)[0])


MODEL = "hollow: the relays' own members, virtual clock, modelled wires, 28 bytes a letter for IPv4 and UDP"
PARTS = {
    "letters": ("count/s", "letters that a member sends"),
    "bytes": ("B/s", "bytes that a member sends"),
    "share": ("share", "of a core, the members' own calls only: no socket, no checksum"),
}
CASES = {
    "quiet": "nobody fails, no letter is lost",
    "lossy": "nobody fails, 5 of 100 letters are lost",
    "churn": "a tenth is killed every 10 s and starts anew 1 s later, for 60 s",
    "zone": "from a quarter's death to its being known to all",
    "hour.meanwhile": "two halves apart, from the 60th second to the 3600th",
    "hour.reunion": "from the end of the hour to all knowing all",
    "minute.reunion": "from the end of a minute apart to all knowing all",
}
NOTES = {
    "quiet.death.known": ("s", "virtual, until no member takes a dead one to be there; median of up to 5"),
    "quiet.death.known.last": ("s", "virtual, the same, the slowest of up to 5"),
    "lossy.death.known": ("s", "virtual, the same with 5 of 100 letters lost, median"),
    "lossy.death.known.last": ("s", "virtual, the same, the slowest"),
    "churn.bytes.worst": ("B/s", "as churn.bytes, in the worst second"),
    "churn.unknown": ("share", "of those that run, unknown to a member in the mean, 8 s after each return"),
    "zone.known": ("s", "virtual, until no member takes any of the dead quarter to be there"),
    "zone.bytes.worst": ("B/s", "as zone.bytes, in the worst second"),
    "hour.rows": ("count", "rows that a member holds when the hour ends; the dead are forgotten after 600 s"),
    "hour.there": ("count", "of them, those taken to be there"),
    "hour.reunion": ("s", "virtual, from the end of an hour apart to all knowing all"),
    "hour.reunion.total": ("B", "sent by a member until then"),
    "hour.reunion.worst": ("B/s", "as hour.reunion.bytes, in the worst second"),
    "minute.rows": ("count", "rows that a member holds when a minute apart ends"),
    "minute.there": ("count", "of them, those taken to be there"),
    "minute.reunion": ("s", "virtual, from the end of a minute apart to all knowing all"),
    "minute.reunion.total": ("B", "sent by a member until then"),
    "minute.reunion.worst": ("B/s", "as minute.reunion.bytes, in the worst second"),
    "memory": ("MB", "traced, of one member that knows all"),
}


def measure(small: bool) -> list[Series]:
    """Makes all measurements and returns the series."""
    results, unmet_sizes = Results(), dict[str, list[int]]()
    for many in SIZES[:2] if small else SIZES:
        measure_quiet(many, 0.0, results)
        measure_quiet(many, 0.05, results)
        measure_churn(many, results)
        measure_zone_loss(many, results)
        measure_memory(many, results)
        for word, seconds in (("minute", 60), ("hour", APART_SECONDS)):
            if not measure_partition(many, seconds, results, word):
                unmet_sizes.setdefault(word, []).append(many)
        print(f"membership: {many} relays done", flush=True)
    notes = dict(NOTES)
    for case, note in CASES.items():
        notes |= {f"{case}.{part}": (unit, f"{text}; {note}") for part, (unit, text) in PARTS.items()}
    series = []
    for name, (unit, note) in notes.items():
        text = f"{note}; {MODEL}; one seed"
        if (missed := unmet_sizes.get(name.split(".")[0])) and "reunion" in name:
            text += f"; not met within {REUNION_LIMIT} s at sizes {missed}"
        if name in results.points:
            series.append(Series(SUBJECT, name, unit, "relays", results.points[name], text))
    for word, sizes in unmet_sizes.items():
        points = [(float(size), 1.0) for size in sizes]
        text = f"1 where the halves had not met again {REUNION_LIMIT} s after the {word} ended; {MODEL}; one seed"
        series.append(Series(SUBJECT, f"{word}.unmet", "count", "relays", points, text))
    return series
