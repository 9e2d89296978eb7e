"""Stories of the feeds' records and the datagrams: round trip, refusal with the field, never a crash."""

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

KINDS: list[Any] = [Complaint, EndpointListMessage, LoadMessage, RolloutMessage, VoteResponse, VoteRequest]


class Records(unittest.TestCase):
    def test_round_trip(self) -> None:
        news = RolloutMessage(3, 1, "trial", 0.3, 120.0)
        row = EndpointMessage("u1", "127.0.0.1", 80, "north", 3, "ready", started_ms=5.0)
        for record in (
            news,
            EndpointListMessage("full", 1, 2.0, [row]),
            VoteRequest(0, 3, 1, "back"),
            VoteResponse("moot", news),
            Complaint("u1", "status", 3.0),
            LoadMessage(waiting=3.0),
        ):
            self.assertEqual(decode(encode(record), type(record)), record)

    def test_a_wrong_field_is_named(self) -> None:
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
        for text, kind, field in cases:
            with self.assertRaises(MessageError) as caught:
                decode(text, kind)
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
        st.sampled_from(KINDS),
    )
    def test_no_bytes_bring_it_down(self, data: bytes, kind: Any) -> None:
        try:
            decode(data, kind)
        except MessageError as fault:
            self.assertTrue(str(fault))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(st.binary(max_size=20).map(lambda line: line.replace(b"\n", b".")), max_size=8),
        st.integers(1, 7),
    )
    def test_lines_come_out_whole_however_the_stream_is_cut(self, rows: list[bytes], step: int) -> None:
        text, lines, found = b"".join(row + b"\n" for row in rows), LineSplitter(), list[bytes]()
        for at in range(0, len(text), step):
            found += lines.feed(text[at : at + step])
        self.assertEqual(found, [row for row in rows if row.strip()])

    def test_an_endless_line_is_refused(self) -> None:
        lines = LineSplitter()
        with self.assertRaises(MessageError):
            for _ in range(20):
                lines.feed(b"x" * 100_000)


class Letters(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=256), st.integers(0, 9), st.integers(0, 2**40))
    def test_round_trip(self, payload: bytes, sender: int, count: int) -> None:
        self.assertEqual(
            decode_datagram(encode_datagram(sender, count, payload), 10), Datagram(sender, count & 0xFFFFFFFF, payload)
        )

    def test_every_flipped_bit_and_every_cut_is_found(self) -> None:
        whole = encode_datagram(1, 7, b"payload")
        for bit in range(len(whole) * 8):
            torn = bytearray(whole)
            torn[bit // 8] ^= 1 << bit % 8
            self.assertIsInstance(decode_datagram(bytes(torn), 10), str)
        for size in range(len(whole)):
            self.assertIsInstance(decode_datagram(whole[:size], 10), str)
        self.assertEqual(decode_datagram(whole + b"x", 10), "length")

    def test_strangers_and_the_oversized_are_dropped(self) -> None:
        self.assertEqual(decode_datagram(encode_datagram(10, 0, b""), 10), "sender")
        self.assertEqual(decode_datagram(b"x" * (datagrams.MAX_DATAGRAM_BYTES + 1), 10), "length")
        with self.assertRaises(ValueError):
            encode_datagram(0, 0, b"x" * 257)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_no_bytes_bring_it_down(self, data: bytes) -> None:
        self.assertIsInstance(decode_datagram(data, 10), str | Datagram)


if __name__ == "__main__":
    unittest.main()
