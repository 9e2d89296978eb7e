"""What relays do with letters of two units that share a mark: loads, votes, drawn fleets, real processes."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

from lanelead.decisions.interface import (
    LOADS,
    SECOND,
    Least,
    Load,
    Phase,
    Sighting,
    Ticks,
    Verdict,
)
from lanelead.decisions.servers import Outstanding, Server, mine
from lanelead.hosting.door import FORM, LOAD, MESSAGE, ROW, SHARED, Door, pack, unpack
from lanelead.hosting.marks import crc
from lanelead.protocols import datagrams
from tests.fake import EFFECTFUL, PURE, FakeHost
from tests.platform import Held, Unit
from tests.test_fleet_processes import RELAYS, Fleet, fleet
from tests.test_marks import A, B, C, door, letters, read
from tests.town import live


class Stories(unittest.TestCase):
    def test_a_hub_adds_up_and_tells_each_unit_by_itself_whatever_relays_know(self) -> None:
        doors = {"first": door(A, B, C), "second": door(B, C, A), "hub": door(C, A, B), "one": door(A, C)}
        out = {name: Outstanding(SECOND) for name in doors}

        def tell(sender: int | None, text: bytes, hearer: str, now: Ticks) -> None:
            said = unpack(text, doors[hearer].marks, [PURE])
            out[hearer].hear(sender, [word for word in said if isinstance(word, Load | Least)], now)

        def at(hearer: str, now: Ticks) -> dict[str, int]:
            known = doors[hearer].units.items()
            return {name: out[hearer].at(unit, now) for name, unit in known if isinstance(unit, Server)}

        for now in range(0, 10 * SECOND, SECOND // 5):
            for sender, (name, loads) in enumerate((("first", {A: 6, C: 1}), ("second", {B: 2}))):
                (text,) = letters(doors[name], loads)
                tell(sender, text, "hub", now)
            total = out["hub"].add([Load(doors["hub"].units[B], 1)], now)
            self.assertEqual({A: 6, B: 3, C: 1}, {doors["hub"].names[load.unit]: load.trips for load in total})
            self.assertEqual({A: 6, B: 2, C: 1}, at("hub", now))
            (text,) = pack(total, [PURE])
            for name in ("first", "second", "one"):
                tell(None, text, name, now)
            self.assertEqual([{A: 6, B: 3, C: 1}] * 2, [at(name, now) for name in ("first", "second")])
            self.assertEqual({A: 6, C: 1}, at("one", now))

    def votes(self, trial: str, other: str) -> list[Verdict]:
        """A relay saw good answers of the one unit on trial, and hears from another of errors there."""
        host = FakeHost(units=0, now=20 * SECOND)
        home, abroad = Door(host.relay.meet), door(trial, other)
        for unit in [host.listed(1, unit=home.unit(name)) for name in ("s-1", "s-2", "s-3")]:
            host.relay._scoring.record(mine(unit), EFFECTFUL, {}, host.relay.now, 30)
        host.run(SECOND)
        host.news(2, 0, Phase.TRIAL, 0.5)
        unit = host.listed(2, since=host.relay.now, unit=home.unit(trial))
        host.listed(1, unit=home.unit(other))
        host.relay._scoring.record(mine(unit), EFFECTFUL, {}, host.relay.now, 10)
        abroad.units[trial].build = 2
        for _ in range(30):
            for text in pack([Sighting(abroad.units[trial], EFFECTFUL, 2, 6, [2, 0, 0, 0, 0])], [EFFECTFUL]):
                host.relay.heard(1, unpack(text, home.marks, [EFFECTFUL]))
            host.run(SECOND // 5)
        return [vote.verdict for vote in host.votes()]

    def test_a_bad_build_is_sent_back_though_its_unit_shares_its_mark(self) -> None:
        # The sightings were taken as the other unit's, of an earlier build, and dropped: it voted 'on'.
        alone, shared = self.votes(A, C), self.votes(A, B)
        self.assertEqual([Verdict.BACK], alone[:1])
        self.assertEqual(alone, shared)

    def test_drawn_fleets_are_told_of_right_or_not_at_all(self) -> None:
        chance = Random(37)
        for units, draws, rows in ((150, 20, 24), (780, 10, 24), (7800, 2, 40)):
            for _ in range(draws):
                names = list(dict.fromkeys(f"{chance.getrandbits(48):012x}" for _ in range(units)))
                teller = door(*names)
                hearer = door(*chance.sample(names, len(names)))
                for _ in range(rows):
                    some = chance.sample(names, min(units, 100))
                    loads = {name: 200 - place for place, name in enumerate(some)}
                    found = read(hearer, letters(teller, loads))
                    least = found.pop("", [200 - LOADS + 1])[0]
                    self.assertEqual({name: [loads[name]] for name in found}, found)
                    left = [name for name in some if name not in found and teller.units[name].wide >= 0]
                    self.assertLessEqual(max(loads[name] for name in left), least)
                    self.assertGreater(len(found), LOADS - 24)


def short_marks(text: bytes) -> list[int]:
    """The marks of 16 bits in a letter, of sightings and loads."""
    if text[0] >> 5 != FORM:
        return []
    end = 3 + (text[0] & 31) * ROW.size
    rest = text[end : len(text) - (len(text) - end) % LOAD.size]
    rows = [row[0] for row in ROW.iter_unpack(text[3:end]) if row[2] != SHARED]
    return rows + [mark for mark, _ in LOAD.iter_unpack(rest)]


class Processes(unittest.TestCase):
    @live
    async def test_hubs_tell_of_a_silent_unit_and_not_of_the_other_with_its_mark(self) -> None:
        units = [Held(A), Unit(B), Held(C)]
        ear, marks = door(A, B, C), list[int]()

        async def told(relays: Fleet) -> None:
            """Returns once a hub tells of trips at the silent units and of none at the other."""
            while True:
                data = await asyncio.get_running_loop().sock_recv(relays.ear, 512)
                payload = datagrams.decode_plain(data)
                assert payload is not None and len(data) <= MESSAGE
                marks.extend(short_marks(payload))
                out = {
                    ear.names[word.unit]: word.trips
                    for word in unpack(payload, ear.marks, [])
                    if isinstance(word, Load)
                }
                if out.get(A) and out.get(C) and not out.get(B):
                    return

        async with fleet(units) as relays:
            clients = {number: await relays.client(number) for number in range(RELAYS)}
            asks = asyncio.create_task(relays.ask(clients, 1000))  # those at silent units wait, others end
            await told(relays)
            asks.cancel()
            await asyncio.gather(asks, return_exceptions=True)
        self.assertNotIn(crc(A) & 0xFFFF, marks)
        self.assertIn(crc(C) & 0xFFFF, marks)


if __name__ == "__main__":
    unittest.main()
