"""What relays do with letters of two units that share a mark: loads, votes, drawn fleets, real processes."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.fleet_load import FleetInFlight
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    SECOND,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
    RolloutPhase,
    Ticks,
    Verdict,
)
from lanelead.protocols import datagrams
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import (
    IN_FLIGHT_ENTRY,
    IN_FLIGHT_MARKER,
    MESSAGE_FORM,
    OUTCOME_ROW,
    decode_gossip,
    encode_gossip,
)
from lanelead.runtime.short_ids import long_id_of
from tests.fake_decisions_host import IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, FakeHost
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.short_id_gossip import A, B, C, door, letters, read
from tests.test_fleet_processes import RELAYS, Fleet, fleet
from tests.town import live


class Stories(unittest.TestCase):
    def test_a_hub_adds_up_and_tells_each_unit_by_itself_whatever_relays_know(self) -> None:
        doors = {"first": door(A, B, C), "second": door(B, C, A), "hub": door(C, A, B), "one": door(A, C)}
        out = {name: FleetInFlight(SECOND) for name in doors}

        def tell(sender: int | None, text: bytes, hearer: str, now: Ticks) -> None:
            said = decode_gossip(text, doors[hearer].short_ids, [IDEMPOTENT_CLASS])
            out[hearer].receive(sender, [word for word in said if isinstance(word, InFlightCount | InFlightBound)], now)

        def at(hearer: str, now: Ticks) -> dict[str, int]:
            known = doors[hearer].by_name.items()
            return {name: out[hearer].others_at(unit, now) for name, unit in known if isinstance(unit, EndpointState)}

        for now in range(0, 10 * SECOND, SECOND // 5):
            for sender, (name, loads) in enumerate((("first", {A: 6, C: 1}), ("second", {B: 2}))):
                (text,) = letters(doors[name], loads)
                tell(sender, text, "hub", now)
            total = out["hub"].aggregate([InFlightCount(doors["hub"].by_name[B], 1)], now)
            self.assertEqual({A: 6, B: 3, C: 1}, {doors["hub"].names[load.endpoint]: load.attempts for load in total})
            self.assertEqual({A: 6, B: 2, C: 1}, at("hub", now))
            (text,) = encode_gossip(total, [IDEMPOTENT_CLASS])
            for name in ("first", "second", "one"):
                tell(None, text, name, now)
            self.assertEqual([{A: 6, B: 3, C: 1}] * 2, [at(name, now) for name in ("first", "second")])
            self.assertEqual({A: 6, C: 1}, at("one", now))

    def votes(self, trial: str, other: str) -> list[Verdict]:
        """A relay saw good answers of the one unit on trial, and hears from another of errors there."""
        host = FakeHost(endpoints=0, now=20 * SECOND)
        home, abroad = EndpointRegistry(host.balancer.new_endpoint), door(trial, other)
        for unit in [host.list_endpoint(1, endpoint=home.get_or_add(name)) for name in ("s-1", "s-2", "s-3")]:
            host.record_outcomes(unit, 30, request_class=NON_IDEMPOTENT_CLASS)
        host.advance(SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.5)
        unit = host.list_endpoint(2, started_at=host.balancer.now, endpoint=home.get_or_add(trial))
        host.list_endpoint(1, endpoint=home.get_or_add(other))
        host.record_outcomes(unit, 10, request_class=NON_IDEMPOTENT_CLASS)
        abroad.by_name[trial].build = 2
        for _ in range(30):
            for text in encode_gossip(
                [OutcomeObservation(abroad.by_name[trial], NON_IDEMPOTENT_CLASS, 2, 6, [2, 0, 0, 0, 0])],
                [NON_IDEMPOTENT_CLASS],
            ):
                host.balancer.gossip_received(1, decode_gossip(text, home.short_ids, [NON_IDEMPOTENT_CLASS]))
            host.advance(SECOND // 5)
        return [vote.verdict for vote in host.votes()]

    def test_a_bad_build_is_sent_back_though_its_unit_shares_its_mark(self) -> None:
        # The sightings were taken as the other unit's, of an earlier build, and dropped: it voted 'on'.
        alone, shared = self.votes(A, C), self.votes(A, B)
        self.assertEqual([Verdict.ROLL_BACK], alone[:1])
        self.assertEqual(alone, shared)

    def test_drawn_fleets_are_told_of_right_or_not_at_all(self) -> None:
        rng = Random(37)
        for units, draws, rows in ((150, 20, 24), (780, 10, 24), (7800, 2, 40)):
            for _ in range(draws):
                names = list(dict.fromkeys(f"{rng.getrandbits(48):012x}" for _ in range(units)))
                teller = door(*names)
                hearer = door(*rng.sample(names, len(names)))
                for _ in range(rows):
                    some = rng.sample(names, min(units, 100))
                    loads = {name: 200 - place for place, name in enumerate(some)}
                    found = read(hearer, letters(teller, loads))
                    least = found.pop("", [200 - MAX_IN_FLIGHT_COUNTS + 1])[0]
                    self.assertEqual({name: [loads[name]] for name in found}, found)
                    left = [name for name in some if name not in found and teller.by_name[name].long_id >= 0]
                    self.assertLessEqual(max(loads[name] for name in left), least)
                    self.assertGreater(len(found), MAX_IN_FLIGHT_COUNTS - 24)


def short_marks(text: bytes) -> list[int]:
    """The marks of 16 bits in a letter, of sightings and loads."""
    if text[0] >> 5 != MESSAGE_FORM:
        return []
    end = 3 + (text[0] & 31) * OUTCOME_ROW.size
    rest = text[end : len(text) - (len(text) - end) % IN_FLIGHT_ENTRY.size]
    rows = [row[0] for row in OUTCOME_ROW.iter_unpack(text[3:end]) if row[2] != IN_FLIGHT_MARKER]
    return rows + [mark for mark, _ in IN_FLIGHT_ENTRY.iter_unpack(rest)]


class Processes(unittest.TestCase):
    @live
    async def test_hubs_tell_of_a_silent_unit_and_not_of_the_other_with_its_mark(self) -> None:
        units = [HeldEndpoint(A), ScriptedEndpoint(B), HeldEndpoint(C)]
        ear, marks = door(A, B, C), list[int]()

        async def told(relays: Fleet) -> None:
            """Returns once a hub tells of trips at the silent units and of none at the other."""
            while True:
                data = await asyncio.get_running_loop().sock_recv(relays.ear, 512)
                payload = datagrams.decode_plain(data)
                assert payload is not None and len(data) <= MAX_MESSAGE_BYTES
                marks.extend(short_marks(payload))
                out = {
                    ear.names[word.endpoint]: word.attempts
                    for word in decode_gossip(payload, ear.short_ids, [])
                    if isinstance(word, InFlightCount)
                }
                if out.get(A) and out.get(C) and not out.get(B):
                    return

        async with fleet(units) as relays:
            clients = {number: await relays.client(number) for number in range(RELAYS)}
            asks = asyncio.create_task(relays.ask(clients, 1000))  # those at silent units wait, others end
            await told(relays)
            asks.cancel()
            await asyncio.gather(asks, return_exceptions=True)
        self.assertNotIn(long_id_of(A) & 0xFFFF, marks)
        self.assertIn(long_id_of(C) & 0xFFFF, marks)


if __name__ == "__main__":
    unittest.main()
