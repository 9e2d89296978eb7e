"""`lanelead membership` (formerly `lanelead circle`): prints the member table of a relay."""

from __future__ import annotations

import json
import socket
import sys
import time
from collections import Counter
from datetime import UTC, datetime

import click

from lanelead.membership.messages import (
    NUMBERS_END,
    STATE_NAMES,
    MemberRecord,
    TablePage,
    TableRequest,
    decode_message,
    encode_message,
)
from lanelead.protocols import datagrams

OBSERVER_NUMBER = 65535  # the sender's number in requests of this command, which is not a member
MAX_TRIES = 5
EXIT_NO_ANSWER = 1
EXIT_USAGE = 2


def fetch_table(host: str, port: int, timeout: float = 1.0) -> list[MemberRecord]:
    """Returns the member table of the relay whose `peers.listen` is HOST:PORT, sorted by member number.

    Raises TimeoutError if `MAX_TRIES` requests in a row get no page within `timeout` seconds each, and OSError if no
    socket is open at that address.
    """
    records: dict[int, MemberRecord] = {}
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as udp:
        udp.connect((host, port))
        first_number = 0
        tries_left = MAX_TRIES
        while first_number < NUMBERS_END:
            _request_table(udp, first_number, tries_left)
            next_number = _receive_pages(udp, first_number, timeout, records)
            tries_left = tries_left - 1 if next_number == first_number else MAX_TRIES
            if not tries_left:
                raise TimeoutError
            first_number = next_number
    return sorted(records.values(), key=lambda record: record.number)


def _request_table(udp: socket.socket, first_number: int, sequence_number: int) -> None:
    payload, _ = encode_message(TableRequest(OBSERVER_NUMBER, 0, 0, [], [], first_number, True))
    udp.send(datagrams.encode_datagram(OBSERVER_NUMBER, sequence_number, payload, datagrams.MEMBERSHIP_MAGIC))


def _receive_pages(udp: socket.socket, first_number: int, timeout: float, records: dict[int, MemberRecord]) -> int:
    """Adds the records of all pages that answer one request; returns the `first_number` of the next request."""
    deadline = time.monotonic() + timeout
    more_follows = True
    while more_follows and first_number < NUMBERS_END:
        time_left = deadline - time.monotonic()
        if time_left <= 0:
            break
        udp.settimeout(time_left)
        try:
            data = udp.recv(datagrams.MAX_DATAGRAM_BYTES + 1)
        except TimeoutError:
            break
        page = _decode_page(data)
        if page is not None and page.first_number == first_number:
            records |= {record.number: record for record in page.records}
            first_number = page.next_number
            more_follows = page.more_follows
    return first_number


def _decode_page(data: bytes) -> TablePage | None:
    datagram = datagrams.decode_datagram(data, 0)
    if isinstance(datagram, datagrams.DatagramFault) or not datagram.membership:
        return None
    message = decode_message(datagram.payload)
    return message if isinstance(message, TablePage) else None


@click.group()
def membership() -> None:
    """Show the relays that are members, as one relay sees them."""


AT_OPTION = click.option(
    "--at", required=True, metavar="HOST:PORT", help="Address in the relay's peers.listen setting."
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


def _fetch_or_exit(address: str) -> list[MemberRecord]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        click.echo(
            f"{address!r} is not an address: expected HOST:PORT of a relay's peers.listen, such as 127.0.0.1:7946",
            err=True,
        )
        sys.exit(EXIT_USAGE)
    try:
        return fetch_table(host.strip("[]"), int(port))
    except (TimeoutError, OSError) as error:
        reason = "no response" if isinstance(error, TimeoutError) else error.strerror or str(error)
        click.echo(
            f"{address}: {reason}. Check that this is the peers.listen of a relay with `circle` in its settings. "
            "Try another relay, or search this relay's log for `member`.",
            err=True,
        )
        sys.exit(EXIT_NO_ANSWER)


def _format_start(record: MemberRecord) -> str:
    return datetime.fromtimestamp(record.started_at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")


@membership.command()
@AT_OPTION
@JSON_OPTION
def members(at: str, as_json: bool) -> None:
    """List all members with state, start time, incarnation ("turn"), zone, region and address."""
    records = _fetch_or_exit(at)
    if as_json:
        found = [
            {
                "number": record.number,
                "life": record.started_at_ms,
                "turn": record.incarnation,
                "zone": record.zone,
                "region": record.region,
                "host": record.host,
                "port": record.port,
                "state": STATE_NAMES[record.state],
            }
            for record in records
        ]
        click.echo(json.dumps({"members": found}))
        return
    click.echo(f"{'relay':>6}  {'state':8}{'started (UTC)':21}{'turn':>5}  {'zone':12}{'region':12}address")
    for record in records:
        click.echo(
            f"{record.number:>6}  {STATE_NAMES[record.state]:8}{_format_start(record):21}{record.incarnation:>5}  "
            f"{record.zone:12}{record.region:12}{record.host}:{record.port}"
        )


@membership.command()
@AT_OPTION
@JSON_OPTION
def status(at: str, as_json: bool) -> None:
    """Count the members in each state, by region and zone."""
    records = _fetch_or_exit(at)
    counts = Counter((record.region, record.zone, STATE_NAMES[record.state]) for record in records)
    if as_json:
        found = [
            {"region": region, "zone": zone, "state": state, "members": count}
            for (region, zone, state), count in sorted(counts.items())
        ]
        click.echo(json.dumps({"status": found}))
        return
    for (region, zone, state), count in sorted(counts.items()):
        click.echo(f"{region}/{zone}: {count} {state}")
