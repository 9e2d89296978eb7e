"""Stories of the platform's codecs: any split gives the same, and nothing spoilt is whole."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.pgwire import clients, messages, statements
from lanelead.pgwire.clients import ClientReader, EncryptionRequest, ProtocolViolation, Query, Startup, Terminate
from lanelead.pgwire.messages import READY, message
from lanelead.pgwire.servers import Progress, ServerReader
from tests.scripted_endpoints import row

START = messages.startup("app", "shop")
TALK = START + messages.query(b"SELECT 1") + messages.query(b"") + message(b"X")
ANSWER = message(b"S", b"vitals\0inflight=7,util=0.5\0") + row(b"\x00\xffvalue") + READY
SELECT = b"SELECT doc FROM items WHERE id = 'ab12' /* id=1f,c=read,t=m,d=480 */"
INSERT = b"INSERT INTO items (id, doc) VALUES ('ab12', '\\x9f03') RETURNING doc /* d=9.5,id=2f,c=file,r=1 */"


def unit_reader() -> ServerReader:
    reader = ServerReader(4096, b"vitals")
    assert reader.feed(messages.WELCOME) is Progress.READY
    reader.begin_response()
    return reader


class Clients(unittest.TestCase):
    @given(st.lists(st.integers(1, len(TALK)), max_size=12))
    def test_any_split_gives_the_same_events(self, cuts: list[int]) -> None:
        reader, events, last = ClientReader(100), list[clients.Event](), 0
        for cut in [*sorted(cuts), len(TALK)]:
            events += reader.feed(TALK[last:cut])
            last = cut
        self.assertEqual(events, [Startup(False), Query(b"SELECT 1"), Query(b""), Terminate()])

    @settings(max_examples=300)
    @given(st.lists(st.binary(max_size=60), max_size=8), st.booleans())
    def test_no_bytes_crash_it_or_fill_it(self, parts: list[bytes], started: bool) -> None:
        reader = ClientReader(100)
        if started:
            reader.feed(START)
        for part in parts:
            reader.feed(part)
            self.assertLessEqual(len(reader._buffer), clients.MAX_STARTUP_BYTES)

    def test_a_length_is_refused_before_its_bytes_come(self) -> None:
        for size in (-5, 0, 3, 107, 2**31 - 1):
            reader = ClientReader(100)
            reader.feed(START)
            events = reader.feed(b"Q" + size.to_bytes(4, "big", signed=True))
            self.assertIsInstance(events[0], ProtocolViolation, size)
            self.assertEqual(reader.feed(b"x" * 1000), [])  # nothing more is read
        self.assertIsInstance(ClientReader(100).feed(b"GET / HTTP/1.1\r\n")[0], ProtocolViolation)

    def test_what_is_not_a_simple_query(self) -> None:
        for text in (message(b"P", b"\0"), message(b"S"), b"\xff\0\0\0\4", b"Q\0\0\0\4", b"Q\0\0\0\7a\0b"):
            reader = ClientReader(100)
            reader.feed(START)
            self.assertIsInstance(reader.feed(text)[0], ProtocolViolation, text)
        wants = messages.HEADER.pack(b"\0", 8)[:0] + (8).to_bytes(4, "big") + (80877103).to_bytes(4, "big")
        reader = ClientReader(100)
        self.assertEqual(reader.feed(wants + START), [EncryptionRequest(), Startup(False)])


class Statements(unittest.TestCase):
    def test_passed_on_unchanged_but_for_the_time(self) -> None:
        found = statements.parse_statement(SELECT)
        self.assertEqual((found.request_id, found.request_class, found.tenant, found.key), ("1f", "read", "m", "ab12"))
        self.assertEqual(found.render(77), SELECT.replace(b"d=480", b"d=77"))
        found = statements.parse_statement(INSERT)
        self.assertEqual((found.write, found.idempotent, found.time_left_ms, found.tenant), (True, True, 9.5, None))
        self.assertEqual(found.render(8), INSERT.replace(b"d=9.5", b"d=8"))

    def test_names_are_the_customers_own_but_for_what_ends_a_pair_or_the_comment(self) -> None:
        for name in ("acme/eu", "a@b", "50%+", "Ισόρροπος", "x" * 128):
            found = statements.parse_statement(SELECT.replace(b"c=read,", b"c=" + name.encode() + b","))
            self.assertEqual((found.request_class, found.tenant), (name, "m"))
        for wrong in (b"a*/b", b"a/*b", b"a,b", b"a b", b"\xff\xfe", b"x" * 129):
            with self.assertRaises(statements.StatementError):
                statements.parse_statement(SELECT.replace(b"c=read,", b"c=" + wrong + b","))

    def test_what_no_client_of_the_platform_sends(self) -> None:
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
    def test_noise_is_never_a_statement(self, text: bytes) -> None:
        with self.assertRaises(statements.StatementError):
            statements.parse_statement(text)


class Units(unittest.TestCase):
    @given(st.lists(st.integers(1, len(ANSWER)), max_size=12))
    def test_any_split_gives_the_same_answer(self, cuts: list[int]) -> None:
        reader, last = unit_reader(), 0
        for cut in [*sorted(cuts), len(ANSWER)]:
            if cut > last:
                reader.feed(ANSWER[last:cut])
            last = cut
        assert reader.response is not None
        self.assertEqual((reader.response.value, reader.response.raw), (b"\x00\xffvalue", row(b"\x00\xffvalue")))
        self.assertEqual((reader.response.report, reader.ready), (b"inflight=7,util=0.5", True))

    def test_errors_have_their_code(self) -> None:
        reader = unit_reader()
        self.assertIs(reader.feed(messages.error("53300", "full") + READY), Progress.RESPONDED)
        assert reader.response is not None
        self.assertEqual((reader.response.error_code, reader.ready), ("53300", True))

    def test_spoilt_answers_are_never_whole(self) -> None:
        good = row(b"value")
        describe, data, end = good[:29], good[29:-14], good[-14:]
        self.assertEqual((describe[:1], data[:1], end[:1]), (b"T", b"D", b"C"))
        for spoilt in (
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
            reader = unit_reader()
            self.assertIs(reader.feed(spoilt), Progress.MALFORMED, spoilt)
            self.assertIsNone(reader.response, spoilt)

    def test_half_an_answer_is_awaited(self) -> None:
        reader, good = unit_reader(), row(b"value")
        told = [reader.feed(good[at : at + 1]) for at in range(len(good))]
        self.assertEqual(told, [Progress.WAITING] * (len(good) - 1) + [Progress.RESPONDED])

    def test_what_comes_behind_a_good_answer_only_ends_the_connection(self) -> None:
        for behind in (row(b"value") + READY, b"\0noise", b"T", READY):
            reader = unit_reader()
            self.assertIs(reader.feed(row(b"value") + READY + behind), Progress.RESPONDED, behind)
            assert reader.response is not None
            self.assertEqual((reader.response.value, reader.ready), (b"value", False))
        reader = unit_reader()
        self.assertIs(reader.feed(row(b"value") + b"\0noise"), Progress.RESPONDED)
        self.assertFalse(reader.ready)

    @settings(max_examples=300)
    @given(st.lists(st.binary(max_size=80), max_size=8))
    def test_no_bytes_crash_it_or_fill_it(self, parts: list[bytes]) -> None:
        reader = unit_reader()
        for part in parts:
            if reader.feed(part) is Progress.MALFORMED:
                break
            self.assertLessEqual(len(reader._buffer), 4096 + 5)
