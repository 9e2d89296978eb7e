"""`./run circle`: asks any relay who is there."""

from __future__ import annotations

import json
import socket
import sys
import time
from collections import Counter
from datetime import UTC, datetime

import click

from lanelead.membership.messages import (
    STATE_NAMES,
    MemberRecord,
    TablePage,
    TableRequest,
    decode_message,
    encode_message,
)
from lanelead.protocols import datagrams

OBSERVER_NUMBER = 65535  # the sender's number of one that's no member
MAX_TRIES = 5


def fetch_table(host: str, port: int, limit: float = 1.0) -> list[MemberRecord]:
    """The table of the relay whose peers listen there. Raises TimeoutError where it doesn't answer `TRIES`
    times in `limit` seconds each, and OSError where nothing is there."""
    rows: dict[int, MemberRecord] = {}
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        sock.connect((host, port))
        first, tries = 0, MAX_TRIES
        while first < 65536:
            text, _ = encode_message(TableRequest(OBSERVER_NUMBER, 0, 0, [], [], first, True))
            sock.send(datagrams.encode_datagram(OBSERVER_NUMBER, tries, text, datagrams.MEMBERSHIP_MAGIC))
            began, until, more = first, time.monotonic() + limit, True
            while more and first < 65536 and (left := until - time.monotonic()) > 0:
                sock.settimeout(left)
                try:
                    data = sock.recv(datagrams.MAX_DATAGRAM_BYTES + 1)
                except TimeoutError:
                    break
                letter = datagrams.decode_datagram(data, 0)
                page = decode_message(letter.payload) if not isinstance(letter, str) and letter.membership else None
                if isinstance(page, TablePage) and page.first_number == first:
                    rows |= {row.number: row for row in page.records}
                    first, more = page.next_number, page.more_follows
            tries = tries - 1 if first == began else MAX_TRIES
            if not tries:
                raise TimeoutError
    return sorted(rows.values(), key=lambda row: row.number)


@click.group()
def membership() -> None:
    """Which relays are there, as one of them sees it."""


AT_OPTION = click.option("--at", required=True, metavar="HOST:PORT", help="Where a relay's peers.listen is.")
JSON_OPTION = click.option("--json", "plain", is_flag=True, help="One JSON object, for programs.")


def _fetch_or_exit(at: str) -> list[MemberRecord]:
    host, _, port = at.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        click.echo(f"{at!r} is no HOST:PORT; give the relay's peers.listen, as in 127.0.0.1:7946", err=True)
        sys.exit(2)
    try:
        return fetch_table(host.strip("[]"), int(port))
    except (TimeoutError, OSError) as fault:
        reason = "no answer" if isinstance(fault, TimeoutError) else fault.strerror or str(fault)
        click.echo(
            f"{at}: {reason}. Is it a relay's peers.listen, with `circle` in its settings? "
            "Ask another relay, or look for `member` in this one's log.",
            err=True,
        )
        sys.exit(1)


def _start_time(row: MemberRecord) -> str:
    return datetime.fromtimestamp(row.started_at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")


@membership.command()
@AT_OPTION
@JSON_OPTION
def members(at: str, plain: bool) -> None:
    """Every member that it knows: state, life, zone, region, address."""
    rows = _fetch_or_exit(at)
    if plain:
        told = [
            {
                "number": row.number,
                "life": row.started_at_ms,
                "turn": row.incarnation,
                "zone": row.zone,
                "region": row.region,
                "host": row.host,
                "port": row.port,
                "state": STATE_NAMES[row.state],
            }
            for row in rows
        ]
        click.echo(json.dumps({"members": told}))
        return
    click.echo(f"{'relay':>6}  {'state':8}{'started (UTC)':21}{'turn':>5}  {'zone':12}{'region':12}address")
    for row in rows:
        click.echo(
            f"{row.number:>6}  {STATE_NAMES[row.state]:8}{_start_time(row):21}{row.incarnation:>5}  "
            f"{row.zone:12}{row.region:12}{row.host}:{row.port}"
        )


@membership.command()
@AT_OPTION
@JSON_OPTION
def status(at: str, plain: bool) -> None:
    """How many are in each state, by region and zone."""
    rows = _fetch_or_exit(at)
    counts = Counter((row.region, row.zone, STATE_NAMES[row.state]) for row in rows)
    if plain:
        told = [
            {"region": region, "zone": zone, "state": state, "members": many}
            for (region, zone, state), many in sorted(counts.items())
        ]
        click.echo(json.dumps({"status": told}))
        return
    for (region, zone, state), many in sorted(counts.items()):
        click.echo(f"{region}/{zone}: {many} {state}")
