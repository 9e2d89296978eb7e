"""Tests of decisions based on gossip about endpoints that share a short id."""

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
    MESSAGE_FORMAT,
    OUTCOME_ROW,
    decode_gossip,
    encode_gossip,
)
from lanelead.runtime.short_ids import long_id_of
from tests.fake_decisions_host import IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, FakeHost
from tests.http_relay_environment import run_on_uvloop
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.short_id_gossip import A, B, C, decode_reports, encode_reports, registry_of
from tests.test_fleet_processes import RELAYS, Fleet, fleet


class SharedShortIdTests(unittest.TestCase):
    def test_aggregator_adds_up_colliding_endpoints_separately(self) -> None:
        registries = {
            "first": registry_of(A, B, C),
            "second": registry_of(B, C, A),
            "aggregator": registry_of(C, A, B),
            "one": registry_of(A, C),
        }
        fleet_in_flight = {name: FleetInFlight(SECOND) for name in registries}

        def deliver(sender: int | None, message: bytes, receiver: str, now: Ticks) -> None:
            entries = decode_gossip(message, registries[receiver].short_ids, [IDEMPOTENT_CLASS])
            fleet_in_flight[receiver].receive(
                sender, [entry for entry in entries if isinstance(entry, InFlightCount | InFlightBound)], now
            )

        def others_in_flight(receiver: str, now: Ticks) -> dict[str, int]:
            known_endpoints = registries[receiver].by_name.items()
            return {
                name: fleet_in_flight[receiver].other_relays_attempts(endpoint, now)
                for name, endpoint in known_endpoints
                if isinstance(endpoint, EndpointState)
            }

        for now in range(0, 10 * SECOND, SECOND // 5):
            for sender, (name, in_flight) in enumerate((("first", {A: 6, C: 1}), ("second", {B: 2}))):
                (message,) = encode_reports(registries[name], in_flight)
                deliver(sender, message, "aggregator", now)
            total = fleet_in_flight["aggregator"].aggregate(
                [InFlightCount(registries["aggregator"].by_name[B], 1)], now
            )
            self.assertEqual(
                {A: 6, B: 3, C: 1}, {registries["aggregator"].names[entry.endpoint]: entry.attempts for entry in total}
            )
            self.assertEqual({A: 6, B: 2, C: 1}, others_in_flight("aggregator", now))
            (message,) = encode_gossip(total, [IDEMPOTENT_CLASS])
            for name in ("first", "second", "one"):
                deliver(None, message, name, now)
            self.assertEqual([{A: 6, B: 3, C: 1}] * 2, [others_in_flight(name, now) for name in ("first", "second")])
            self.assertEqual({A: 6, C: 1}, others_in_flight("one", now))

    def votes(self, canary_name: str, other_name: str) -> list[Verdict]:
        """Returns the votes of a relay that saw successes at the canary's endpoint while a peer reports errors."""
        host = FakeHost(endpoints=0, now=20 * SECOND)
        own_registry, peer_registry = EndpointRegistry(host.balancer.new_endpoint), registry_of(canary_name, other_name)
        for endpoint in [
            host.list_endpoint(1, endpoint=own_registry.get_or_add(name)) for name in ("s-1", "s-2", "s-3")
        ]:
            host.record_outcomes(endpoint, 30, request_class=NON_IDEMPOTENT_CLASS)
        host.advance(SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.5)
        endpoint = host.list_endpoint(2, started_at=host.balancer.now, endpoint=own_registry.get_or_add(canary_name))
        host.list_endpoint(1, endpoint=own_registry.get_or_add(other_name))
        host.record_outcomes(endpoint, 10, request_class=NON_IDEMPOTENT_CLASS)
        peer_registry.by_name[canary_name].build = 2
        for _ in range(30):
            for message in encode_gossip(
                [OutcomeObservation(peer_registry.by_name[canary_name], NON_IDEMPOTENT_CLASS, 2, 6, [2, 0, 0, 0, 0])],
                [NON_IDEMPOTENT_CLASS],
            ):
                host.balancer.gossip_received(1, decode_gossip(message, own_registry.short_ids, [NON_IDEMPOTENT_CLASS]))
            host.advance(SECOND // 5)
        return [vote.verdict for vote in host.votes()]

    def test_bad_build_is_rolled_back_although_its_endpoint_shares_a_short_id(self) -> None:
        # Guards against reports that are attributed to the other endpoint, which has an earlier build, and so are
        # skipped: the relay then voted to promote.
        without_collision, with_collision = self.votes(A, C), self.votes(A, B)
        self.assertEqual([Verdict.ROLL_BACK], without_collision[:1])
        self.assertEqual(without_collision, with_collision)

    def test_random_fleets_are_reported_correctly_or_not_at_all(self) -> None:
        rng = Random(37)
        for endpoints, repetitions, rows in ((150, 20, 24), (780, 10, 24), (7800, 2, 40)):
            for _ in range(repetitions):
                names = list(dict.fromkeys(f"{rng.getrandbits(48):012x}" for _ in range(endpoints)))
                sender = registry_of(*names)
                receiver = registry_of(*rng.sample(names, len(names)))
                for _ in range(rows):
                    reported_names = rng.sample(names, min(endpoints, 100))
                    in_flight = {name: 200 - position for position, name in enumerate(reported_names)}
                    decoded = decode_reports(receiver, encode_reports(sender, in_flight))
                    bound = decoded.pop("", [200 - MAX_IN_FLIGHT_COUNTS + 1])[0]
                    self.assertEqual({name: [in_flight[name]] for name in decoded}, decoded)
                    left = [
                        name for name in reported_names if name not in decoded and sender.by_name[name].long_id >= 0
                    ]
                    self.assertLessEqual(max(in_flight[name] for name in left), bound)
                    self.assertGreater(len(decoded), MAX_IN_FLIGHT_COUNTS - 24)


def short_ids_in(message: bytes) -> list[int]:
    """Returns the short ids in a message, of observations and in-flight counts."""
    if message[0] >> 5 != MESSAGE_FORMAT:
        return []
    end = 3 + (message[0] & 31) * OUTCOME_ROW.size
    rest = message[end : len(message) - (len(message) - end) % IN_FLIGHT_ENTRY.size]
    ids = [row[0] for row in OUTCOME_ROW.iter_unpack(message[3:end]) if row[2] != IN_FLIGHT_MARKER]
    return ids + [short_id for short_id, _ in IN_FLIGHT_ENTRY.iter_unpack(rest)]


class ProcessTests(unittest.TestCase):
    @run_on_uvloop
    async def test_aggregators_report_a_held_endpoint_but_not_the_other_with_its_short_id(self) -> None:
        endpoints = [HeldEndpoint(A), ScriptedEndpoint(B), HeldEndpoint(C)]
        registry, received_short_ids = registry_of(A, B, C), list[int]()

        async def receive_expected(relays: Fleet) -> None:
            """Waits until an aggregator reports attempts in flight at the held endpoints, and none at the other one."""
            while True:
                data = await asyncio.get_running_loop().sock_recv(relays.gossip_socket, 512)
                payload = datagrams.decode_plain(data)
                assert payload is not None and len(data) <= MAX_MESSAGE_BYTES
                received_short_ids.extend(short_ids_in(payload))
                in_flight = {
                    registry.names[entry.endpoint]: entry.attempts
                    for entry in decode_gossip(payload, registry.short_ids, [])
                    if isinstance(entry, InFlightCount)
                }
                if in_flight.get(A) and in_flight.get(C) and not in_flight.get(B):
                    return

        async with fleet(endpoints) as relays:
            clients = {number: await relays.client(number) for number in range(RELAYS)}
            # Requests to held endpoints wait, and others end.
            requests = asyncio.create_task(relays.send_rounds(clients, 1000))
            await receive_expected(relays)
            requests.cancel()
            await asyncio.gather(requests, return_exceptions=True)
        self.assertNotIn(long_id_of(A) & 0xFFFF, received_short_ids)
        self.assertIn(long_id_of(C) & 0xFFFF, received_short_ids)


if __name__ == "__main__":
    unittest.main()
