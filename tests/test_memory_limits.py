"""Relays stay within the memory and the descriptors that they were given, beside crowds of abusive clients."""

from __future__ import annotations

import unittest

from tests.abuse.measurement import measure_relay
from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import GivenLimits
from tests.http_relay_environment import run_on_uvloop

LEAST_MEMORY = GivenLimits(memory_mb=32, descriptors=1024)
LEAST = GivenLimits(memory_mb=32, descriptors=256)
SECONDS = 3.0


class PostgresRelayMemory(unittest.TestCase):
    """Resident memory and the kernel's queues of the relay's sockets count."""

    @run_on_uvloop
    async def test_clients_that_stop_within_large_requests_do_not_exceed_the_memory_limit(self) -> None:
        await self._check("half of a large request", LEAST_MEMORY)

    @run_on_uvloop
    async def test_a_crowd_that_connects_anew_does_not_exceed_the_memory_limit(self) -> None:
        await self._check("half of a large request, 700 clients", LEAST_MEMORY)

    @run_on_uvloop
    async def test_a_crowd_that_connects_anew_does_not_exceed_the_least_descriptors(self) -> None:
        await self._check("half of a large request, 700 clients", LEAST)

    @run_on_uvloop
    async def test_large_requests_in_receive_queues_do_not_exceed_the_memory_limit(self) -> None:
        await self._check("large requests at full speed, 470 clients", LEAST_MEMORY)

    @run_on_uvloop
    async def test_answers_that_are_not_read_do_not_exceed_the_memory_limit(self) -> None:
        await self._check("large answers that are not read", LEAST_MEMORY)

    @run_on_uvloop
    async def test_heads_of_short_fields_do_not_exceed_the_memory_limit(self) -> None:
        await self._check("heads of short fields", LEAST_MEMORY)

    @run_on_uvloop
    async def test_heads_of_short_fields_in_pieces_do_not_exceed_the_memory_limit(self) -> None:
        await self._check("heads of short fields in pieces", LEAST_MEMORY)

    async def _check(self, pattern: str, limits: GivenLimits) -> None:
        measured = await measure_relay(RelayKind.POSTGRES, pattern, SECONDS, limits=limits)
        self.assertEqual(measured.faults(), [], measured.line())
