"""Tests of the feed messages and the datagrams: round trips, errors that name the field, and arbitrary bytes."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.protocols import datagrams
from lanelead.protocols.datagrams import Datagram, decode_datagram, encode_datagram
from lanelead.protocols.feeds import (
    Complaint,
    EndpointListMessage,
    EndpointMessage,
    LineSplitter,
    LoadMessage,
    MessageError,
    RolloutMessage,
    VoteRequest,
    VoteResponse,
    decode,
    encode,
)

MESSAGE_TYPES: list[Any] = [Complaint, EndpointListMessage, LoadMessage, RolloutMessage, VoteResponse, VoteRequest]


class FeedMessages(unittest.TestCase):
    def test_round_trip(self) -> None:
        rollout = RolloutMessage(3, 1, "trial", 0.3, 120.0)
        endpoint = EndpointMessage("u1", "127.0.0.1", 80, "north", 3, "ready", started_ms=5.0)
        for message in (
            rollout,
            EndpointListMessage("full", 1, 2.0, [endpoint]),
            VoteRequest(0, 3, 1, "back"),
            VoteResponse("moot", rollout),
            Complaint("u1", "status", 3.0),
            LoadMessage(waiting=3.0),
        ):
            self.assertEqual(decode(encode(message), type(message)), message)

    def test_error_names_the_invalid_field(self) -> None:
        cases = [
            (b'{"build":3,"stage":1,"phase":"trial","cap":2,"age_ms":0}', RolloutMessage, "cap"),
            (b'{"build":3,"stage":1,"phase":"lost","cap":1,"age_ms":0}', RolloutMessage, "phase"),
            (b'{"unit":"u","lane":"l","age_ms":0,"more":1}', Complaint, "more"),
            (
                b'{"coverage":"full","version":1,"clock_ms":0,"units":[{"unit":"u","host":"h","port":0}]}',
                EndpointListMessage,
                "port",
            ),
            (b'{"relay":0,"build":70000,"stage":0,"verdict":"on"}', VoteRequest, "build"),
        ]
        for text, message_type, field in cases:
            with self.assertRaises(MessageError) as caught:
                decode(text, message_type)
            self.assertIn(field, str(caught.exception))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.binary(max_size=200)
        | st.recursive(
            st.integers() | st.text(max_size=3) | st.none(),
            lambda inner: st.lists(inner)
            | st.dictionaries(st.sampled_from(["unit", "build", "units", "cap", "word", "news"]), inner),
            max_leaves=8,
        ).map(encode),
        st.sampled_from(MESSAGE_TYPES),
    )
    def test_arbitrary_bytes_raise_no_other_error(self, data: bytes, message_type: Any) -> None:
        try:
            decode(data, message_type)
        except MessageError as error:
            self.assertTrue(str(error))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(st.binary(max_size=20).map(lambda line: line.replace(b"\n", b".")), max_size=8),
        st.integers(1, 7),
    )
    def test_lines_are_complete_however_the_stream_is_split(self, lines: list[bytes], step: int) -> None:
        text, splitter, found = b"".join(line + b"\n" for line in lines), LineSplitter(), list[bytes]()
        for at in range(0, len(text), step):
            found += splitter.feed(text[at : at + step])
        self.assertEqual(found, [line for line in lines if line.strip()])

    def test_line_over_the_limit_is_rejected(self) -> None:
        splitter = LineSplitter()
        with self.assertRaises(MessageError):
            for _ in range(20):
                splitter.feed(b"x" * 100_000)


class Datagrams(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=256), st.integers(0, 9), st.integers(0, 2**40))
    def test_round_trip(self, payload: bytes, sender: int, sequence: int) -> None:
        self.assertEqual(
            decode_datagram(encode_datagram(sender, sequence, payload), 10),
            Datagram(sender, sequence & 0xFFFFFFFF, payload),
        )

    def test_every_flipped_bit_and_every_truncation_is_detected(self) -> None:
        data = encode_datagram(1, 7, b"payload")
        for bit in range(len(data) * 8):
            corrupt = bytearray(data)
            corrupt[bit // 8] ^= 1 << bit % 8
            self.assertIsInstance(decode_datagram(bytes(corrupt), 10), str)
        for size in range(len(data)):
            self.assertIsInstance(decode_datagram(data[:size], 10), str)
        self.assertEqual(decode_datagram(data + b"x", 10), "length")

    def test_unknown_senders_and_wrong_lengths_are_dropped(self) -> None:
        self.assertEqual(decode_datagram(encode_datagram(10, 0, b""), 10), "sender")
        self.assertEqual(decode_datagram(b"x" * (datagrams.MAX_DATAGRAM_BYTES + 1), 10), "length")
        with self.assertRaises(ValueError):
            encode_datagram(0, 0, b"x" * 257)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_raise_no_error(self, data: bytes) -> None:
        self.assertIsInstance(decode_datagram(data, 10), str | Datagram)


if __name__ == "__main__":
    unittest.main()
