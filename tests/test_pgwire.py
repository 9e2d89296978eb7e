"""Tests of the PostgreSQL parsers: results do not depend on how bytes are split, and malformed ones are detected."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.pgwire import clients, messages, statements
from lanelead.pgwire.clients import ClientReader, EncryptionRequest, ProtocolViolation, Query, Startup, Terminate
from lanelead.pgwire.messages import READY, message
from lanelead.pgwire.servers import Progress, ServerReader
from tests.scripted_endpoints import row

STARTUP = messages.startup("app", "shop")
CLIENT_BYTES = STARTUP + messages.query(b"SELECT 1") + messages.query(b"") + message(b"X")
RESPONSE = message(b"S", b"vitals\0inflight=7,util=0.5\0") + row(b"\x00\xffvalue") + READY
SELECT = b"SELECT doc FROM items WHERE id = 'ab12' /* id=1f,c=read,t=m,d=480 */"
INSERT = b"INSERT INTO items (id, doc) VALUES ('ab12', '\\x9f03') RETURNING doc /* d=9.5,id=2f,c=file,r=1 */"


def server_reader() -> ServerReader:
    reader = ServerReader(4096, b"vitals")
    assert reader.feed(messages.STARTUP_RESPONSE) is Progress.READY
    reader.begin_response()
    return reader


class ClientReaderTests(unittest.TestCase):
    @given(st.lists(st.integers(1, len(CLIENT_BYTES)), max_size=12))
    def test_any_split_gives_the_same_events(self, cuts: list[int]) -> None:
        reader, events, last = ClientReader(100), list[clients.Event](), 0
        for cut in [*sorted(cuts), len(CLIENT_BYTES)]:
            events += reader.feed(CLIENT_BYTES[last:cut])
            last = cut
        self.assertEqual(events, [Startup(False), Query(b"SELECT 1"), Query(b""), Terminate()])

    @settings(max_examples=300)
    @given(st.lists(st.binary(max_size=60), max_size=8), st.booleans())
    def test_arbitrary_bytes_raise_nothing_and_are_buffered_up_to_the_limit(
        self, parts: list[bytes], started: bool
    ) -> None:
        reader = ClientReader(100)
        if started:
            reader.feed(STARTUP)
        for part in parts:
            reader.feed(part)
            self.assertLessEqual(len(reader._buffer), clients.MAX_STARTUP_BYTES)

    def test_invalid_length_is_rejected_before_the_body_is_received(self) -> None:
        for size in (-5, 0, 3, 107, 2**31 - 1):
            reader = ClientReader(100)
            reader.feed(STARTUP)
            events = reader.feed(b"Q" + size.to_bytes(4, "big", signed=True))
            self.assertIsInstance(events[0], ProtocolViolation, size)
            self.assertEqual(reader.feed(b"x" * 1000), [])  # further bytes are ignored
        self.assertIsInstance(ClientReader(100).feed(b"GET / HTTP/1.1\r\n")[0], ProtocolViolation)

    def test_only_simple_queries_and_encryption_requests_are_accepted(self) -> None:
        for text in (message(b"P", b"\0"), message(b"S"), b"\xff\0\0\0\4", b"Q\0\0\0\4", b"Q\0\0\0\7a\0b"):
            reader = ClientReader(100)
            reader.feed(STARTUP)
            self.assertIsInstance(reader.feed(text)[0], ProtocolViolation, text)
        ssl_request = messages.HEADER.pack(b"\0", 8)[:0] + (8).to_bytes(4, "big") + (80877103).to_bytes(4, "big")
        reader = ClientReader(100)
        self.assertEqual(reader.feed(ssl_request + STARTUP), [EncryptionRequest(), Startup(False)])


class StatementTests(unittest.TestCase):
    def test_only_the_time_left_changes_in_a_rendered_statement(self) -> None:
        statement = statements.parse_statement(SELECT)
        self.assertEqual(
            (statement.request_id, statement.request_class, statement.tenant, statement.key),
            ("1f", "read", "m", "ab12"),
        )
        self.assertEqual(statement.render(77), SELECT.replace(b"d=480", b"d=77"))
        statement = statements.parse_statement(INSERT)
        self.assertEqual(
            (statement.write, statement.idempotent, statement.time_left_ms, statement.tenant), (True, True, 9.5, None)
        )
        self.assertEqual(statement.render(8), INSERT.replace(b"d=9.5", b"d=8"))

    def test_names_may_have_any_characters_except_those_that_end_a_pair_or_the_comment(self) -> None:
        for name in ("acme/eu", "a@b", "50%+", "Ισόρροπος", "x" * 128):
            statement = statements.parse_statement(SELECT.replace(b"c=read,", b"c=" + name.encode() + b","))
            self.assertEqual((statement.request_class, statement.tenant), (name, "m"))
        for invalid in (b"a*/b", b"a/*b", b"a,b", b"a b", b"\xff\xfe", b"x" * 129):
            with self.assertRaises(statements.StatementError):
                statements.parse_statement(SELECT.replace(b"c=read,", b"c=" + invalid + b","))

    def test_invalid_statements_are_rejected(self) -> None:
        for old, new in (
            (b"id=1f,", b""),
            (b"c=read,", b""),
            (b"d=480", b"d=0"),
            (b"d=480", b"d=-3"),
            (b"d=480", b"d=nan"),
            (b"d=480", b"d=1e3"),
            (b",d=480", b""),
            (b"t=m", b"id=2f"),
            (b"t=m", b"t"),
            (b"doc", b"*"),
            (b"'ab12'", b"'a'; DROP TABLE items"),
            (b" */", b""),
            (b"id=1f", b"id="),
            (b" */", b" */;SELECT 1"),
        ):
            with self.assertRaises(statements.StatementError, msg=new):
                statements.parse_statement(SELECT.replace(old, new, 1))
        with self.assertRaises(statements.StatementError):
            statements.parse_statement(INSERT.replace(b"9f03", b"9f0"))

    @given(st.binary(max_size=200))
    def test_random_bytes_are_never_a_statement(self, text: bytes) -> None:
        with self.assertRaises(statements.StatementError):
            statements.parse_statement(text)


class ServerReaderTests(unittest.TestCase):
    @given(st.lists(st.integers(1, len(RESPONSE)), max_size=12))
    def test_any_split_gives_the_same_response(self, cuts: list[int]) -> None:
        reader, last = server_reader(), 0
        for cut in [*sorted(cuts), len(RESPONSE)]:
            if cut > last:
                reader.feed(RESPONSE[last:cut])
            last = cut
        assert reader.response is not None
        self.assertEqual((reader.response.value, reader.response.raw), (b"\x00\xffvalue", row(b"\x00\xffvalue")))
        self.assertEqual((reader.response.report, reader.ready), (b"inflight=7,util=0.5", True))

    def test_a_connection_that_rests_keeps_nothing_of_its_last_response(self) -> None:
        reader = server_reader()
        reader.feed(RESPONSE[:-20])
        self.assertGreater(reader.held_bytes, 0)
        reader.feed(RESPONSE[-20:])
        self.assertEqual(reader.take_response().value, b"\x00\xffvalue")
        self.assertEqual((reader.held_bytes, reader.response, reader.ready), (0, None, True))
        self.assertIs(reader.feed(b"Z"), Progress.MALFORMED)

    def test_error_response_has_its_code(self) -> None:
        reader = server_reader()
        self.assertIs(reader.feed(messages.error("53300", "full") + READY), Progress.RESPONDED)
        assert reader.response is not None
        self.assertEqual((reader.response.error_code, reader.ready), ("53300", True))

    def test_malformed_responses_are_detected(self) -> None:
        valid = row(b"value")
        describe, data, end = valid[:29], valid[29:-14], valid[-14:]
        self.assertEqual((describe[:1], data[:1], end[:1]), (b"T", b"D", b"C"))
        for malformed in (
            b"noise and more noise",
            describe + data + data + end,
            data + end,
            describe + end,
            end,
            message(b"T", b"\0\2" + describe[7:]) + data + end,
            describe + message(b"D", b"\0\2" + data[7:]) + end,
            describe + message(b"D", data[5:] + b"x") + end,
            describe + message(b"D", data[5:-1]) + end,
            describe + b"D" + (3 << 29).to_bytes(4, "big") + b"\0\1",
            describe + b"D\0\0\0\1",
            READY,
            describe + data + message(b"C", b"SELECT 1"),
            describe + data + message(b"C", b"\x01\x02\0"),
            describe + message(b"D", b"\0\1\xff\xff\xff\xff") + end,
            message(b"E", b"C53300"),
            message(b"H"),
        ):
            reader = server_reader()
            self.assertIs(reader.feed(malformed), Progress.MALFORMED, malformed)
            self.assertIsNone(reader.response, malformed)

    def test_incomplete_response_is_waited_for(self) -> None:
        reader, valid = server_reader(), row(b"value")
        progress = [reader.feed(valid[index : index + 1]) for index in range(len(valid))]
        self.assertEqual(progress, [Progress.WAITING] * (len(valid) - 1) + [Progress.RESPONDED])

    def test_bytes_after_a_valid_response_only_prevent_reuse_of_the_connection(self) -> None:
        for trailing in (row(b"value") + READY, b"\0noise", b"T", READY):
            reader = server_reader()
            self.assertIs(reader.feed(row(b"value") + READY + trailing), Progress.RESPONDED, trailing)
            assert reader.response is not None
            self.assertEqual((reader.response.value, reader.ready), (b"value", False))
        reader = server_reader()
        self.assertIs(reader.feed(row(b"value") + b"\0noise"), Progress.RESPONDED)
        self.assertFalse(reader.ready)

    @settings(max_examples=300)
    @given(st.lists(st.binary(max_size=80), max_size=8))
    def test_arbitrary_bytes_raise_nothing_and_are_buffered_up_to_the_limit(self, parts: list[bytes]) -> None:
        reader = server_reader()
        for part in parts:
            if reader.feed(part) is Progress.MALFORMED:
                break
            self.assertLessEqual(len(reader._buffer), 4096 + 5)
