"""Tests that messages between processes keep the encoding that commit c655458 wrote.

`tests/pinned/messages.json` has, for each message type, a message with every field set and one with only the required
fields, as bytes. The keys of the dictionaries below are the names in that file and never change; the types may be
renamed as long as the encoding stays the same.
"""

from __future__ import annotations

import hashlib
import json
import unittest
from pathlib import Path
from typing import Any

import msgspec
import msgspec.inspect

from lanelead.configuration import value_types
from lanelead.membership import messages
from lanelead.postgres_relay import config
from lanelead.protocols import configuration, configuration_replicas, feeds, migrations, platform

RECORDED = Path(__file__).parent / "pinned" / "messages.json"

JSON_TYPES: dict[str, Any] = {
    "feeds.row": feeds.EndpointMessage,
    "feeds.listed": feeds.EndpointListMessage,
    "feeds.news": feeds.RolloutMessage,
    "feeds.vote": feeds.VoteRequest,
    "feeds.vote-answer": feeds.VoteResponse,
    "feeds.complaint": feeds.Complaint,
    "feeds.load": feeds.LoadMessage,
    "platform.state": platform.StageMessage,
    "platform.error": platform.RpcError,
    "platform.line": platform.RpcMessage,
    "platform.endpoint": platform.ListedEndpoint,
    "platform.endpoints": platform.EndpointList,
    "platform.label": platform.EndpointIdAndState,
    "platform.node-config": config.RelayConfig,
    "configuration.entry": configuration.Entry,
    "configuration.change": configuration.Change,
    "configuration.line": configuration.WatchLine,
    "configuration.outline": configuration.DigestTree,
    "configuration.buckets": configuration.Buckets,
    "configuration.applied": configuration.AppliedVersion,
    "configuration.proposal": configuration.Proposal,
    "configuration.accepted": configuration.AcceptedProposal,
    "configuration.refusal": configuration.RejectedProposal,
    "configuration.ballot": configuration.Ballot,
    "configuration.prepare": configuration.Prepare,
    "configuration.promise": configuration.Promise,
    "configuration.accept": configuration.Accept,
    "configuration.vote": configuration.AcceptReply,
    "configuration.sign": configuration.Heartbeat,
    "configuration.log": configuration.LogPage,
    "configuration.tenant": value_types.TenantValue,
    "configuration.class": value_types.ClassValue,
    "machines.decided": configuration_replicas.DecidedChange,
    "machines.made": configuration_replicas.CompletedProposal,
    "machines.snapshot": configuration_replicas.SnapshotPage,
    "machines.peer": configuration_replicas.PeerStatus,
    "machines.status": configuration_replicas.ReplicaStatus,
    "steps.entry": migrations.LogEntry,
    "steps.logged": migrations.LoggedEntry,
    "steps.lease-ask": migrations.LeaseRequest,
    "steps.lease": migrations.Lease,
    "steps.append-ask": migrations.AppendRequest,
    "steps.appended": migrations.AppendReply,
    "steps.span": migrations.BatchRange,
    "steps.apply-ask": migrations.ApplyRequest,
    "steps.marks": migrations.EffectProgress,
    "steps.seen-ask": migrations.AcknowledgeRequest,
    "steps.forget-ask": migrations.ForgetRequest,
    "steps.unseen": migrations.UnacknowledgedRelays,
    "steps.page": migrations.MigrationLogPage,
    "steps.refusal": migrations.RejectedCall,
    "steps.told": migrations.SchemaCheck,
}
MESSAGEPACK_TYPES: dict[str, Any] = {
    "membership.row": messages.MemberRecord,
    "membership.claim": messages.StateClaim,
    "membership.gossip": messages.Gossip,
    "membership.ping": messages.Ping,
    "membership.ack": messages.Ack,
    "membership.nack": messages.Nack,
    "membership.ask": messages.PingRequest,
    "membership.join": messages.TableRequest,
    "membership.table": messages.TablePage,
}


def bounds_of(message_type: Any) -> Any:
    """Returns a message type's keys, which of them are required, and the bounds and enumerations of their values."""
    return _described(msgspec.inspect.type_info(message_type))


def _described(info: Any) -> Any:
    if isinstance(info, msgspec.inspect.StructType):
        strict = info.forbid_unknown_fields
        fields = [(field.encode_name, field.required, _described(field.type)) for field in info.fields]
        return ["object", strict, info.tag, info.tag_field, fields]
    described: list[Any] = [type(info).__name__]
    for name in info.__struct_fields__:
        value = getattr(info, name)
        if isinstance(value, msgspec.inspect.Type):
            described.append((name, _described(value)))
        elif isinstance(value, tuple):
            parts = [_described(p) if isinstance(p, msgspec.inspect.Type) else p for p in value]
            described.append((name, parts))
        elif value is not None:
            described.append((name, str(value)))
    return described


def recorded() -> dict[str, dict[str, str]]:
    """Returns the recorded bytes by message name: JSON as text, MessagePack as hexadecimal digits."""
    found: dict[str, dict[str, str]] = json.loads(RECORDED.read_text())
    return found


class PinnedMessages(unittest.TestCase):
    def test_every_recorded_message_has_a_type_and_every_type_is_recorded(self) -> None:
        self.assertEqual(sorted(recorded()), sorted([*JSON_TYPES, *MESSAGEPACK_TYPES]))

    def test_json_messages_are_decoded_and_encoded_again_byte_for_byte(self) -> None:
        for name, message_type in JSON_TYPES.items():
            text = recorded()[name]["full"]
            with self.subTest(message=name):
                message = msgspec.json.decode(text.encode(), type=message_type)
                self.assertEqual(msgspec.json.encode(message).decode(), text)

    def test_defaults_of_json_messages_are_those_of_the_recording(self) -> None:
        """Decodes each message with only the required fields, so that the others get their defaults."""
        for name, message_type in JSON_TYPES.items():
            with self.subTest(message=name):
                texts = recorded()[name]
                message = msgspec.json.decode(texts["sent"].encode(), type=message_type)
                self.assertEqual(msgspec.json.encode(message).decode(), texts["required"])

    def test_keys_bounds_and_enumerations_are_those_of_the_recording(self) -> None:
        for name, message_type in JSON_TYPES.items():
            with self.subTest(message=name):
                bounds = json.dumps(bounds_of(message_type))
                self.assertEqual(hashlib.sha256(bounds.encode()).hexdigest(), recorded()[name]["bounds"])

    def test_membership_messages_are_decoded_and_encoded_again_byte_for_byte(self) -> None:
        for name, message_type in MESSAGEPACK_TYPES.items():
            data = bytes.fromhex(recorded()[name]["full"])
            with self.subTest(message=name):
                message = msgspec.msgpack.decode(data, type=message_type)
                self.assertEqual(msgspec.msgpack.encode(message), data)

    def test_membership_messages_are_decoded_as_their_type(self) -> None:
        for name, message_type in MESSAGEPACK_TYPES.items():
            if name in ("membership.row", "membership.claim"):
                continue
            with self.subTest(message=name):
                self.assertIs(type(messages.decode_message(bytes.fromhex(recorded()[name]["full"]))), message_type)
