"""The commands `lanelead configuration serve`, `publish` and `status`."""

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

REPLY_TIMEOUT_SECONDS = 30.0  # for one response; a replica gives up a proposal earlier
STATUS_POLL_SECONDS = 0.2  # interval between two checks which relays have applied a version
MAX_BODY_BYTES = 16 << 20  # limit of a response and of a file of entries
EXIT_COMMITTED, EXIT_REJECTED, EXIT_UNKNOWN, EXIT_NOT_APPLIED = 0, 2, 3, 4  # exit statuses
AT_OPTION = click.option("--at", "at", multiple=True, required=True, help="HOST:PORT of a replica; may be repeated.")


@click.group()
def configuration() -> None:
    """Serves the configuration, publishes changes to it and shows its status."""


@configuration.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Runs the replica that the settings FILE describes, until SIGTERM or SIGINT."""
    from lanelead.configuration.main import run

    try:
        settings = read_settings(file)
    except InvalidSettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    run(settings)


def check_addresses(at: Sequence[str]) -> list[str]:
    """Checks that each text has the form HOST:PORT. Raises click.BadParameter."""
    for text in at:
        try:
            address_of(text)
        except MessageError:
            raise click.BadParameter(f"{text!r}: expected HOST:PORT") from None
    return list(at)


async def call_replica(at: str, method: str, path: bytes, body: bytes, limit: float) -> tuple[int, bytes]:
    """Calls a replica, for `limit` seconds at most; returns status and body. Raises CallFailedError."""
    try:
        answer = await call(asyncio.get_running_loop(), address_of(at), method, path, body, limit)
    except TimeoutError:
        raise CallFailedError(f"no answer within {limit:g} s") from None
    return answer.status, answer.body


async def submit_proposal(
    at: Sequence[str], proposal: Proposal, patience: float
) -> AcceptedProposal | RejectedProposal:
    """Proposes a change to one replica after another until the result is certain or `patience` seconds are over."""
    deadline, pause, last = (
        time.monotonic() + patience,
        0.1,
        RejectedProposal("abstains", "no replica was asked in time"),
    )
    while True:
        for address in at:
            left = deadline - time.monotonic()
            if left <= 0:
                return last
            try:
                status, body = await call_replica(
                    address, "POST", b"/configuration", encode(proposal), min(REPLY_TIMEOUT_SECONDS, left)
                )
                if status == 200:
                    return decode(body, AcceptedProposal)
                if status in (413, 431):  # from the HTTP server, before the replica sees the request
                    return RejectedProposal("malformed", f"{body.decode('utf-8', 'replace')[:200]}: split the change")
                found = decode(body, RejectedProposal)
            except CallFailedError as error:  # the replica may have received the proposal nevertheless
                found = RejectedProposal("unknown", f"{address}: {error}")
            except MessageError as error:
                found = RejectedProposal("unknown", f"{address}: invalid response: {error}")
            if found.reason in ("malformed", "stale"):
                return found
            # After one unknown result the change may have been made, whatever the other replicas reply.
            last = found if found.reason == "unknown" or last.reason != "unknown" else last
        await asyncio.sleep(min(pause, max(0.0, deadline - time.monotonic())))
        pause = min(2.0, pause * 2)


async def collect_status(at: Sequence[str]) -> tuple[dict[str, ReplicaStatus], list[str]]:
    """Collects the status of the replicas at these addresses and of all peers that they name.

    Returns the statuses by address, and the addresses that did not respond.
    """
    found, unanswered, queried = dict[str, ReplicaStatus](), list[str](), list[str]()
    pending = list(at)
    while pending:
        queried += pending
        answers = await asyncio.gather(
            *(call_replica(address, "GET", b"/configuration/status", b"", 2.0) for address in pending),
            return_exceptions=True,
        )
        for address, answer in zip(pending, answers, strict=True):
            if isinstance(answer, tuple) and answer[0] == 200:
                try:
                    found[address] = decode(answer[1], ReplicaStatus, MAX_BODY_BYTES)
                    continue
                except MessageError:
                    pass
            elif isinstance(answer, BaseException) and not isinstance(answer, CallFailedError):
                raise answer
            unanswered.append(address)
        named = [peer.address for status in found.values() for peer in status.peers]
        pending = [address for address in dict.fromkeys(named) if address not in queried]
    # One replica may be known by two addresses: keep one status of each.
    by_replica = {status.replica: (address, status) for address, status in found.items()}
    responding_replicas = [status.replica for status in found.values()]
    numbers = {peer.address: peer.replica for status in found.values() for peer in status.peers}
    return dict(by_replica.values()), [
        address for address in unanswered if numbers.get(address) not in responding_replicas
    ]


def latest_reports(found: dict[str, ReplicaStatus]) -> dict[int, AppliedVersion]:
    """The report with the highest version of each relay, by its number; a relay's version never decreases."""
    relays = dict[int, AppliedVersion]()
    for status in found.values():
        for report in status.relays:
            if report.relay not in relays or relays[report.relay].version < report.version:
                relays[report.relay] = report
    return relays


def applied_summary(relays: dict[int, AppliedVersion], version: int) -> tuple[str, bool]:
    """Counts the relays that have applied `version`: as a text with the zones, and whether all have."""
    relay_counts = Counter(report.zone or "?" for report in relays.values())
    applied_counts = Counter(report.zone or "?" for report in relays.values() if report.version >= version)
    zones = ", ".join(f"{zone} {applied_counts[zone]} of {relay_counts[zone]}" for zone in sorted(relay_counts))
    text = f"{applied_counts.total()} of {relay_counts.total()} relays" + (f" ({zones})" if zones else "")
    return text, applied_counts.total() == relay_counts.total()


def parse_entries(text: bytes) -> list[Entry]:
    """Parses a JSON list of {key, value} or an object of keys and values; null removes a key. Raises MessageError."""
    if len(text) > MAX_BODY_BYTES:
        raise MessageError(f"{len(text)} bytes of entries; expected at most {MAX_BODY_BYTES}")
    try:
        found: Any = msgspec.json.decode(text)
        if isinstance(found, dict):
            found = [{"key": key, "value": value} for key, value in found.items()]
        rows = [
            {**row, "value": msgspec.Raw(msgspec.json.encode(row.get("value")))} if isinstance(row, dict) else row
            for row in found
        ]
        return msgspec.convert(rows, list[Entry])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, TypeError) as error:
        raise MessageError(f"invalid entries: {str(error)[:200]}") from None


@configuration.command()
@click.argument("file", type=click.File("rb"))
@AT_OPTION
@click.option(
    "--ident",
    default=None,
    help="Idempotency key of the change: 8 to 64 letters, digits, dots, underscores or hyphens; random if not given.",
)
@click.option(
    "--expect",
    multiple=True,
    help="KEY=VERSION: reject the change if a version after this one has changed the key; may be repeated.",
)
@click.option("--patience", default=60.0, type=click.FloatRange(0.1, 3600), help="Seconds to wait for the decision.")
@click.option(
    "--in-force",
    default=None,
    type=click.FloatRange(0.0, 3600),
    help="Seconds to wait until all relays have reported that the change is in force.",
)
def publish(
    file: Any,
    at: tuple[str, ...],
    ident: str | None,
    expect: tuple[str, ...],
    patience: float,
    in_force: float | None,
) -> None:
    """Publishes the entries in FILE (JSON; - for standard input) as one change.

    Exits with 0 if the change is committed (and, with --in-force, in force at all relays), with 2 if it was rejected
    and nothing was changed, with 3 if the result is unknown (repeat the command with the same --ident), and with 4
    if it is committed but not all relays have reported that it is in force.
    """
    replicas = check_addresses(at)
    try:
        entries = parse_entries(file.read(MAX_BODY_BYTES + 1))
        proposal = Proposal(ident or f"p-{secrets.token_hex(12)}", entries, _expected_versions(expect))
        decode(encode(proposal), Proposal, MAX_BODY_BYTES)
    except MessageError as error:
        text = str(error)
        if text.endswith("at `$.ident`"):  # the decoder names the field of the message, not the flag
            text = f"--ident {(ident or '')[:80]!r}: expected 8 to 64 letters, digits, dots, underscores or hyphens"
        click.echo(text, err=True)
        sys.exit(EXIT_REJECTED)
    sys.exit(asyncio.run(_publish(replicas, proposal, patience, in_force)))


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
            return EXIT_REJECTED
        click.echo(
            f"the change may or may not be committed: repeat the command with --ident {proposal.ident}", err=True
        )
        return EXIT_UNKNOWN
    click.echo(f"version {result.version}, ident {proposal.ident}")
    if in_force is None:
        return EXIT_COMMITTED
    deadline, known = time.monotonic() + in_force, list(at)
    while True:
        found, unanswered = await collect_status(known)
        known = list(dict.fromkeys([*known, *found]))
        text, all_have = applied_summary(latest_reports(found), result.version)
        if (all_have and found) or time.monotonic() >= deadline:
            break
        await asyncio.sleep(min(STATUS_POLL_SECONDS, max(0.0, deadline - time.monotonic())))
    click.echo(f"in force: {text}")
    for address in unanswered:
        click.echo(f"{address} does not answer: relays that report only to it are not counted", err=True)
    return EXIT_COMMITTED if all_have and found else EXIT_NOT_APPLIED


@configuration.command()
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print the status documents as JSON.")
def status(at: tuple[str, ...], as_json: bool) -> None:
    """Shows the committed version and history, the state of each replica, and the relays by version.

    Exits with 3 if a replica does not answer, does not vote though it is a voter, or has a store fault, or if
    histories differ or committed versions differ by more than one.
    """
    found, unanswered = asyncio.run(collect_status(check_addresses(at)))
    if as_json:
        click.echo(encode({"machines": found, "silent": unanswered}).decode())
    else:
        for line in status_lines(found, unanswered):
            click.echo(line)
    versions = [replica.committed_version for replica in found.values()]
    good = bool(found) and not unanswered and not any(replica.fault or replica.non_voting for replica in found.values())
    same_history = len({replica.history for replica in found.values()}) == 1
    sys.exit(0 if good and same_history and max(versions) - min(versions) <= 1 else 3)


def status_lines(found: dict[str, ReplicaStatus], unanswered: Sequence[str]) -> list[str]:
    """Formats the status of all replicas as lines for a terminal."""
    if not found:
        return ["no replica answers"]
    newest = max(found.values(), key=lambda status: status.committed_version)
    lines = [
        f"committed version {newest.committed_version}, history {newest.history or 'none'}, {newest.entries} entries"
    ]
    lines.append(f"{'replica':>7}  {'address':22} {'zone':12} {'version':>8} {'heard':>9}  ")
    for at, state in sorted(found.items(), key=lambda row: row[1].replica):
        notes = (
            ["votes" if not state.non_voting else "abstains until the others have decided later versions"]
            if state.voter
            else []
        )
        notes += [f"history {state.history}"] if state.history != newest.history else []
        notes += [state.fault] if state.fault else []
        heard = f"{state.staleness_ms / 1000:.1f} s" if state.staleness_ms < 9e7 else "never"
        row = f"{state.replica:>7}  {at:22} {state.zone:12} {state.committed_version:>8} {heard:>9}  {', '.join(notes)}"
        lines.append(row.rstrip())
    lines += [f"{'':>7}  {at:22} does not answer" for at in unanswered]
    versions = Counter(report.version for report in latest_reports(found).values())
    for version, many in sorted(versions.items(), reverse=True):
        lines.append(f"version {version}: {many} relays")
    rejecting = sum(bool(report.rejected_keys) for report in latest_reports(found).values())
    if rejecting:
        lines.append(f"{rejecting} relays rejected the value of some key: see the logs of the relays")
    return lines
