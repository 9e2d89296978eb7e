"""Connections of the HTTP relay to endpoints, and when they are used again."""

from __future__ import annotations

import asyncio
import unittest

from lanelead.http import serialization
from tests.http_relay_environment import (
    Client,
    RelayEnvironment,
    ScriptedEndpoint,
    relay_environment,
    respond_with,
    run_on_uvloop,
)

WORK_SECONDS = 0.005
SECOND_COPY_SECONDS = 0.003  # after the first one
REQUESTS = 20


async def respond_twice(endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Responds with the request's path, and again a little later."""
    loop = asyncio.get_running_loop()
    while True:
        path = (await endpoint.request(reader)).split(b" ")[1]
        await asyncio.sleep(WORK_SECONDS)
        response = serialization.response(200, (), path)
        writer.write(response)
        loop.call_later(SECOND_COPY_SECONDS, writer.write, response)


async def respond_and_close(
    endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Responds to one request as if the connection stayed open, and closes it."""
    await endpoint.request(reader)
    writer.write(serialization.response(200, (), b"ok"))
    await asyncio.sleep(SECOND_COPY_SECONDS)
    writer.close()


async def until_none_is_in_use(env: RelayEnvironment) -> None:
    """Waits until no connection to an endpoint is in use, delayed or being closed."""
    while any(pool.in_use or pool.delayed for pool in env.relay.upstream.pools._pools.values()):
        await asyncio.sleep(0.01)


class Reuse(unittest.TestCase):
    @run_on_uvloop
    async def test_a_second_copy_of_a_response_reaches_no_other_request(self) -> None:
        # Guards against a copy that is taken for the response to the next request on the connection (review/2).
        async with relay_environment(ScriptedEndpoint("u", respond_twice)) as env:
            client = await Client.to(env)
            paths = [f"/{number}" for number in range(REQUESTS)]
            self.assertEqual([(await client.ask("GET", path))[2] for path in paths], [path.encode() for path in paths])
            await until_none_is_in_use(env)

    @run_on_uvloop
    async def test_a_connection_is_used_again_after_the_delay(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with())
        async with relay_environment(endpoint) as env:
            client = await Client.to(env)
            for _ in range(3):
                self.assertEqual((await client.ask("GET", "/x"))[0], 200)
                await until_none_is_in_use(env)
            self.assertEqual(endpoint.connections, 1)

    @run_on_uvloop
    async def test_connections_that_endpoints_close_are_not_counted_any_more(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_and_close)) as env:
            client = await Client.to(env)
            for _ in range(REQUESTS):
                self.assertEqual((await client.ask("GET", "/x"))[0], 200)
            await until_none_is_in_use(env)

    @run_on_uvloop
    async def test_requests_wait_for_the_only_connection_allowed(self) -> None:
        # Guards against requests that are not woken at the end of the delay.
        endpoint = ScriptedEndpoint("u", respond_with())
        async with relay_environment(endpoint, allowance="unit_connections: 1") as env:
            clients = [await Client.to(env) for _ in range(3)]
            for _ in range(5):
                answers = await asyncio.gather(*(client.ask("GET", "/x") for client in clients))
                self.assertEqual([status for status, *_ in answers], [200] * len(clients))
            self.assertEqual(endpoint.connections, 1)
