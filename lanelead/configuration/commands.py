"""`lanelead configuration`: serve, publish and status."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any

import click
import msgspec

from lanelead.configuration.settings import InvalidSettingsError, address_of, read_settings
from lanelead.http.client import CallFailedError, call
from lanelead.protocols.configuration import AcceptedProposal, AppliedVersion, Entry, Proposal, RejectedProposal
from lanelead.protocols.configuration_replicas import ReplicaStatus
from lanelead.protocols.feeds import MessageError, decode, encode

REPLY_TIMEOUT_SECONDS = 30.0  # seconds for one answer: a machine ends a proposal before
STATUS_POLL_SECONDS = 0.2  # seconds between two looks at who has a version in force
MAX_BODY_BYTES = 16 << 20  # bytes of an answer, and of a file of entries
MADE, REFUSED, UNKNOWN, LACKING = 0, 2, 3, 4  # exit statuses
AT_OPTION = click.option("--at", "at", multiple=True, required=True, help="HOST:PORT of a machine; may be repeated.")


@click.group()
def configuration() -> None:
    """Configuration told by version and change: its machines, changes and where they are in force."""


@configuration.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Runs the machine that the settings FILE describes, until SIGTERM."""
    from lanelead.configuration.main import run

    try:
        settings = read_settings(file)
    except InvalidSettingsError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    run(settings)


def addresses(at: Sequence[str]) -> list[str]:
    """Checks that each is HOST:PORT; click.BadParameter otherwise."""
    for text in at:
        try:
            address_of(text)
        except MessageError:
            raise click.BadParameter(f"{text!r}: expected HOST:PORT") from None
    return list(at)


async def call_replica(at: str, method: str, path: bytes, body: bytes, limit: float) -> tuple[int, bytes]:
    """Raises CallFailedError where there is no answer."""
    try:
        answer = await call(asyncio.get_running_loop(), address_of(at), method, path, body, limit)
    except TimeoutError:
        raise CallFailedError(f"no answer within {limit:g} s") from None
    return answer.status, answer.body


async def submit_proposal(
    at: Sequence[str], proposal: Proposal, patience: float
) -> AcceptedProposal | RejectedProposal:
    """Asks one machine after another, with the same ident, until one says for certain or patience ends."""
    end, pause, last = time.monotonic() + patience, 0.1, RejectedProposal("abstains", "no machine was asked")
    while True:
        for each in at:
            left = end - time.monotonic()
            if left <= 0:
                return last
            try:
                status, body = await call_replica(
                    each, "POST", b"/configuration", encode(proposal), min(REPLY_TIMEOUT_SECONDS, left)
                )
                if status == 200:
                    return decode(body, AcceptedProposal)
                if status in (413, 431):  # what any server says of a request that is too large
                    return RejectedProposal("malformed", f"{body.decode('utf-8', 'replace')[:200]}: split the change")
                found = decode(body, RejectedProposal)
            except CallFailedError as fault:  # it may have been heard all the same
                found = RejectedProposal("unknown", f"{each}: {fault}")
            except MessageError as fault:
                found = RejectedProposal("unknown", f"{each}: what came is no answer: {fault}")
            if found.reason in ("malformed", "stale"):
                return found
            # Once one did not say for certain that nothing was changed, no other can say so.
            last = found if found.reason == "unknown" or last.reason != "unknown" else last
        await asyncio.sleep(min(pause, max(0.0, end - time.monotonic())))
        pause = min(2.0, pause * 2)


async def collect_status(at: Sequence[str]) -> tuple[dict[str, ReplicaStatus], list[str]]:
    """What all machines say of themselves, as far as any of these names them; who did not answer."""
    found, silent, asked = dict[str, ReplicaStatus](), list[str](), list[str]()
    todo = list(at)
    while todo:
        asked += todo
        answers = await asyncio.gather(
            *(call_replica(each, "GET", b"/configuration/status", b"", 2.0) for each in todo), return_exceptions=True
        )
        for each, answer in zip(todo, answers, strict=True):
            if isinstance(answer, tuple) and answer[0] == 200:
                try:
                    found[each] = decode(answer[1], ReplicaStatus, MAX_BODY_BYTES)
                    continue
                except MessageError:
                    pass
            elif isinstance(answer, BaseException) and not isinstance(answer, CallFailedError):
                raise answer
            silent.append(each)
        named = [peer.address for status in found.values() for peer in status.peers]
        todo = [each for each in dict.fromkeys(named) if each not in asked]
    # One machine may be known by two addresses.
    single = {status.replica: (each, status) for each, status in found.items()}
    here = [status.replica for status in found.values()]
    numbers = {peer.address: peer.replica for status in found.values() for peer in status.peers}
    return dict(single.values()), [each for each in silent if numbers.get(each) not in here]


def relays_of(found: dict[str, ReplicaStatus]) -> dict[int, AppliedVersion]:
    """Each relay once, with the newest that it told any machine: it never goes back."""
    relays = dict[int, AppliedVersion]()
    for status in found.values():
        for told in status.relays:
            if told.relay not in relays or relays[told.relay].version < told.version:
                relays[told.relay] = told
    return relays


def applied_summary(relays: dict[int, AppliedVersion], version: int) -> tuple[str, bool]:
    """How many of how many have it, by zone."""
    every = Counter(told.zone or "?" for told in relays.values())
    have = Counter(told.zone or "?" for told in relays.values() if told.version >= version)
    zones = ", ".join(f"{zone} {have[zone]} of {every[zone]}" for zone in sorted(every))
    text = f"{have.total()} of {every.total()} relays" + (f" ({zones})" if zones else "")
    return text, have.total() == every.total()


def entries_of(text: bytes) -> list[Entry]:
    """A JSON list of {key, value}, or an object of keys and values; null removes a key. Raises MessageError."""
    if len(text) > MAX_BODY_BYTES:
        raise MessageError(f"{len(text)} bytes, of {MAX_BODY_BYTES} at most")
    try:
        found: Any = msgspec.json.decode(text)
        if isinstance(found, dict):
            found = [{"key": key, "value": value} for key, value in found.items()]
        rows = [
            {**row, "value": msgspec.Raw(msgspec.json.encode(row.get("value")))} if isinstance(row, dict) else row
            for row in found
        ]
        return msgspec.convert(rows, list[Entry])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, TypeError) as fault:
        raise MessageError(f"not entries: {str(fault)[:200]}") from None


@configuration.command()
@click.argument("file", type=click.File("rb"))
@AT_OPTION
@click.option("--ident", default=None, help="Of this change: asked for twice, it is made once.")
@click.option("--expect", multiple=True, help="KEY=VERSION: only if no later version has changed the key.")
@click.option("--patience", default=60.0, type=click.FloatRange(0.1, 3600), help="Seconds until it is decided.")
@click.option(
    "--in-force",
    default=None,
    type=click.FloatRange(0.0, 3600),
    help="Seconds to wait until all relays have told that they have it.",
)
def publish(
    file: Any,
    at: tuple[str, ...],
    ident: str | None,
    expect: tuple[str, ...],
    patience: float,
    in_force: float | None,
) -> None:
    """Makes the entries of FILE, JSON (- for standard input), one change.

    Exits with 0 once it is made (and, with --in-force, all relays have it), with 2 where it was refused and
    nothing was changed, with 3 where it may be made or not (ask again with the same --ident), and with 4
    where it is made and not all relays have told that they have it."""
    where = addresses(at)
    try:
        entries = entries_of(file.read(MAX_BODY_BYTES + 1))
        proposal = Proposal(ident or f"p-{secrets.token_hex(12)}", entries, _expected_versions(expect))
        decode(encode(proposal), Proposal, MAX_BODY_BYTES)
    except MessageError as fault:
        click.echo(str(fault), err=True)
        sys.exit(REFUSED)
    sys.exit(asyncio.run(_publish(where, proposal, patience, in_force)))


def _expected_versions(texts: Sequence[str]) -> dict[str, int]:
    found = dict[str, int]()
    for text in texts:
        key, _, version = text.rpartition("=")
        if not key or not version.isdecimal():
            raise MessageError(f"--expect {text[:80]!r}: expected KEY=VERSION")
        found[key] = int(version)
    return found


async def _publish(at: list[str], proposal: Proposal, patience: float, in_force: float | None) -> int:
    result = await submit_proposal(at, proposal, patience)
    if isinstance(result, RejectedProposal):
        click.echo(f"{result.reason}: {result.text}", err=True)
        if result.reason != "unknown":
            return REFUSED
        click.echo(f"it may be made or not: ask again with --ident {proposal.ident}", err=True)
        return UNKNOWN
    click.echo(f"version {result.version}, ident {proposal.ident}")
    if in_force is None:
        return MADE
    end, known = time.monotonic() + in_force, list(at)
    while True:
        found, silent = await collect_status(known)
        known = list(dict.fromkeys([*known, *found]))
        text, all_have = applied_summary(relays_of(found), result.version)
        if (all_have and found) or time.monotonic() >= end:
            break
        await asyncio.sleep(min(STATUS_POLL_SECONDS, max(0.0, end - time.monotonic())))
    click.echo(f"in force: {text}")
    for each in silent:
        click.echo(f"{each} does not answer: relays that follow by it alone are not counted", err=True)
    return MADE if all_have and found else LACKING


@configuration.command()
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(at: tuple[str, ...], as_json: bool) -> None:
    """Head and history, each machine's head and age, relays by version. Exits with 3 where something is
    wrong."""
    found, silent = asyncio.run(collect_status(addresses(at)))
    if as_json:
        click.echo(encode({"machines": found, "silent": silent}).decode())
    else:
        for line in status_lines(found, silent):
            click.echo(line)
    heads = [each.committed_version for each in found.values()]
    good = bool(found) and not silent and not any(each.fault or each.non_voting for each in found.values())
    same = len({each.history for each in found.values()}) == 1
    sys.exit(0 if good and same and max(heads) - min(heads) <= 1 else 3)


def status_lines(found: dict[str, ReplicaStatus], silent: Sequence[str]) -> list[str]:
    """The status of all replicas as lines for a terminal."""
    if not found:
        return ["no machine answers"]
    newest = max(found.values(), key=lambda each: each.committed_version)
    lines = [f"head {newest.committed_version}, history {newest.history or 'none'}, {newest.entries} entries"]
    lines.append(f"{'machine':>7}  {'address':22} {'zone':12} {'head':>8} {'heard':>9}  ")
    for at, each in sorted(found.items(), key=lambda row: row[1].replica):
        words = ["votes" if not each.non_voting else "abstains until others have gone on"] if each.voter else []
        words += [f"history {each.history}"] if each.history != newest.history else []
        words += [each.fault] if each.fault else []
        heard = f"{each.staleness_ms / 1000:.1f} s" if each.staleness_ms < 9e7 else "never"
        row = f"{each.replica:>7}  {at:22} {each.zone:12} {each.committed_version:>8} {heard:>9}  {', '.join(words)}"
        lines.append(row.rstrip())
    lines += [f"{'':>7}  {at:22} does not answer" for at in silent]
    versions = Counter(told.version for told in relays_of(found).values())
    for version, many in sorted(versions.items(), reverse=True):
        lines.append(f"version {version}: {many} relays")
    refusing = sum(bool(told.rejected_keys) for told in relays_of(found).values())
    if refusing:
        lines.append(f"{refusing} relays could not take some key: see the relays' logs")
    return lines
