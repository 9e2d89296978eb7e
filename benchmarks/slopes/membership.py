"""Who is there: what the circle costs a member, how soon a loss is known to all, and what a cut leaves.

The members are those that relays run (lanelead/membership); wires and the clock are the model's, so that waiting
times are virtual and one seed gives one result, while processor time is counted of the members' own calls.
"""

from __future__ import annotations

import gc
import time
from random import Random
from statistics import median
from typing import NamedTuple

from benchmarks.membership import TEMPO
from benchmarks.slopes.series import Series, traced_mb
from lanelead.decisions.interface import Ticks
from lanelead.membership.member import Membership
from lanelead.membership.member_state import Address
from lanelead.membership.messages import MemberRecord
from lanelead.testbed.simulation.membership import SECOND, Town, Wires

SUBJECT = "membership"
SIZES = (8, 40, 200, 600)
SEED = 37
QUIET = 20  # seconds over which the ordinary rate is counted
KILLS = 5
CHURN = 60  # seconds in which a tenth restarts every 10 s
DOWN = 1  # seconds from a kill to the start of the next life
KNOWN = 120  # seconds after which one that is dead and not known so to all is given up
APART = 3600  # seconds
MET = 300  # seconds after which two regions that have not met are given up


class Timed(Membership):
    """A member whose own processor time is counted, over all of them."""

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
    Timed.spent += spent
    Timed.most = max(Timed.most, spent)


class Rates(NamedTuple):
    """Of one member in the mean, each second."""

    letters: float
    bytes: float
    share: float  # of a core


class Meter:
    """Counts from its making on; `rates` says what a member had each second since then."""

    def __init__(self, town: Town) -> None:
        self._town, self._began = town, town.now
        self._letters, self._bytes, self._spent = town.letters, town.bytes, Timed.spent

    def rates(self) -> Rates:
        town = self._town
        span = (town.now - self._began) / SECOND * max(1, len(town.members))
        spent = (Timed.spent - self._spent) / 1e9
        return Rates((town.letters - self._letters) / span, (town.bytes - self._bytes) / span, spent / span)

    def total(self) -> int:
        return self._town.bytes - self._bytes


class Found:
    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}

    def add(self, name: str, size: float, value: float) -> None:
        self.points.setdefault(name, []).append((float(size), value))

    def rates(self, name: str, size: int, rates: Rates) -> None:
        for part, value in zip(rates._fields, rates, strict=True):
            self.add(f"{name}.{part}", size, value)


def town_of(many: int, loss: float = 0.0) -> Town:
    """A circle in which all know all, after its first seconds."""
    gc.collect()
    town = Town(many, SEED, TEMPO, Wires(loss=loss), kind=Timed)
    town.run(2 * SECOND)
    return town


def known_after(town: Town, gone: list[int], limit: int) -> float | None:
    """Virtual seconds until no member takes any of these to be there; None where it lasts longer."""
    began = town.now
    while any(town.blind(number) for number in gone):
        if town.now - began >= limit * SECOND:
            return None
        town.run(town.now + SECOND // 20)
    return (town.now - began) / SECOND


def quiet(many: int, loss: float, found: Found) -> None:
    town, word = town_of(many, loss), "quiet" if not loss else "lossy"
    meter = Meter(town)
    town.run(town.now + QUIET * SECOND)
    found.rates(word, many, meter.rates())
    took = []
    for number in range(many - 1, many - 1 - min(KILLS, many // 2), -1):
        town.run(town.now + int(town.chance.uniform(0.5, 1.5) * SECOND))
        town.kill(number)
        took.append(known_after(town, [number], KNOWN) or float(KNOWN))
    found.add(f"{word}.death.known", many, median(took))
    found.add(f"{word}.death.known.last", many, max(took))


def churn(many: int, found: Found) -> None:
    """Each 10 s another tenth is killed at once, and starts anew a second later with only its settings."""
    town, meter, missing, worst = town_of(many), None, list[float](), 0.0
    tenth = max(1, many // 10)
    for second in range(CHURN):
        turn, phase = divmod(second, 10)
        chosen = [(turn * tenth + place) % many for place in range(tenth)]
        if phase == 0:
            for number in chosen:
                town.kill(number)
        if phase == DOWN:
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
    found.rates("churn", many, meter.rates())
    found.add("churn.bytes.worst", many, worst)
    found.add("churn.unknown", many, sum(missing) / len(missing))


def zone(many: int, found: Found) -> None:
    """A quarter is killed at once."""
    town = town_of(many)
    gone = [number for number in range(many) if number % 4 == 3]
    for number in gone:
        town.kill(number)
    meter, worst, began = Meter(town), 0.0, town.now
    while any(town.blind(number) for number in gone) and town.now < began + KNOWN * SECOND:
        one = Meter(town)
        town.run(town.now + SECOND)
        worst = max(worst, one.rates().bytes)
    found.add("zone.known", many, (town.now - began) / SECOND)
    found.rates("zone", many, meter.rates())
    found.add("zone.bytes.worst", many, worst)


def apart(many: int, seconds: int, found: Found, word: str) -> bool:
    """Two halves that hear nothing of each other for so long, and then all; whether they met again."""
    town = town_of(many)
    town.wires.cut = lambda sender, receiver: sender % 2 != receiver % 2
    town.run(town.now + min(seconds, 60) * SECOND)
    if seconds > 60:
        meter = Meter(town)
        town.run(town.now + (seconds - 60) * SECOND)
        found.rates(f"{word}.meanwhile", many, meter.rates())
    rows = sum(len(member.records) for member in town.members.values()) / many
    found.add(f"{word}.rows", many, rows)
    there = sum(len(view) for view in town.views()) / many
    found.add(f"{word}.there", many, there)
    town.wires.cut = lambda sender, receiver: False
    meter, began, worst = Meter(town), town.now, 0.0
    while not town.agreed() and town.now < began + MET * SECOND:
        one = Meter(town)
        town.run(town.now + SECOND)
        worst = max(worst, one.rates().bytes)
    met = town.agreed()
    if met:
        found.add(f"{word}.reunion", many, (town.now - began) / SECOND)
        found.add(f"{word}.reunion.total", many, meter.total() / many)
        found.add(f"{word}.reunion.worst", many, worst)
        found.rates(f"{word}.reunion", many, meter.rates())
    return met


def memory(many: int, found: Found) -> None:
    def one() -> Membership:
        rows = [MemberRecord(n, 1_700_000_000_000 + n, 0, 0, False, "a", "a", f"10.0.{n}", 7946) for n in range(many)]
        return Membership(own=rows[0], timings=TEMPO, seeds=[], rng=Random(SEED), now=0, known=rows[1:])

    found.add("memory", many, traced_mb(one)[0])


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
    found, never = Found(), dict[str, list[int]]()
    for many in SIZES[:2] if small else SIZES:
        quiet(many, 0.0, found)
        quiet(many, 0.05, found)
        churn(many, found)
        zone(many, found)
        memory(many, found)
        for word, seconds in (("minute", 60), ("hour", APART)):
            if not apart(many, seconds, found, word):
                never.setdefault(word, []).append(many)
        print(f"membership: {many} relays done", flush=True)
    notes = dict(NOTES)
    for case, note in CASES.items():
        notes |= {f"{case}.{part}": (unit, f"{text}; {note}") for part, (unit, text) in PARTS.items()}
    series = []
    for name, (unit, note) in notes.items():
        text = f"{note}; {MODEL}; one seed"
        if (missed := never.get(name.split(".")[0])) and "reunion" in name:
            text += f"; not met within {MET} s at sizes {missed}"
        if name in found.points:
            series.append(Series(SUBJECT, name, unit, "relays", found.points[name], text))
    for word, sizes in never.items():
        points = [(float(size), 1.0) for size in sizes]
        text = f"1 where the halves had not met again {MET} s after the {word} ended; {MODEL}; one seed"
        series.append(Series(SUBJECT, f"{word}.unmet", "count", "relays", points, text))
    return series
