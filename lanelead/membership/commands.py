"""`lanelead membership` (earlier: `circle`): asks any relay which members it knows."""

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

OBSERVER_NUMBER = 65535  # as a sender: one that is no member
MAX_TRIES = 5
EXIT_NO_ANSWER = 1
EXIT_USAGE = 2


def fetch_table(host: str, port: int, timeout: float = 1.0) -> list[MemberRecord]:
    """Returns the table of the relay whose peers.listen is there, by member number.

    Raises TimeoutError if it doesn't answer `MAX_TRIES` times in `timeout` seconds each, OSError if nothing is there.
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
    """Adds the records of the pages that answer one request; returns the number from which the next one is to ask."""
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
    """Which relays are there, as one of them sees it."""


AT_OPTION = click.option("--at", required=True, metavar="HOST:PORT", help="Where a relay's peers.listen is.")
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="One JSON object, for programs.")


def _fetch_or_exit(address: str) -> list[MemberRecord]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        click.echo(f"{address!r} is no HOST:PORT; give the relay's peers.listen, as in 127.0.0.1:7946", err=True)
        sys.exit(EXIT_USAGE)
    try:
        return fetch_table(host.strip("[]"), int(port))
    except (TimeoutError, OSError) as error:
        reason = "no answer" if isinstance(error, TimeoutError) else error.strerror or str(error)
        click.echo(
            f"{address}: {reason}. Is it a relay's peers.listen, with `circle` in its settings? "
            "Ask another relay, or look for `member` in this one's log.",
            err=True,
        )
        sys.exit(EXIT_NO_ANSWER)


def _format_start(record: MemberRecord) -> str:
    return datetime.fromtimestamp(record.started_at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")


@membership.command()
@AT_OPTION
@JSON_OPTION
def members(at: str, as_json: bool) -> None:
    """Every member that it knows: state, start, incarnation, zone, region, address."""
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
    """How many are in each state, by region and zone."""
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
