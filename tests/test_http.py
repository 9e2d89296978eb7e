"""Tests of the HTTP readers and of serialization: framing, limits, rejected input, and input split at any byte."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.http import serialization
from lanelead.http.requests import ContinueExpected, Event, HttpRequest, RejectedRequest, RequestReader, State
from lanelead.http.responses import Progress, ResponseReader

HOST = b"Host: a\r\n"


def read_requests(data: bytes, split: int = 0, head: int = 2000, body: int = 1000) -> list[Event]:
    """The events of `data`, fed in two parts split at an offset, or in one part if that is 0."""
    reader = RequestReader(head, body)
    return [event for part in ((data[:split], data[split:]) if split else (data,)) for event in reader.feed(part)]


class RequestReading(unittest.TestCase):
    def test_content_length_bodies_chunked_bodies_and_pipelined_requests(self) -> None:
        text = b"POST /a HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nabc"
        text += b"PUT /b HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        text += b"HEAD /c HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n"
        for split in range(len(text)):
            found = read_requests(text, split)
            rows = [(e.method, e.target, e.body, e.keep) for e in found if isinstance(e, HttpRequest)]
            expected = [
                ("POST", b"/a", b"abc", True),
                ("PUT", b"/b", b"def", True),
                ("HEAD", b"/c", b"", False),
            ]
            self.assertEqual(rows, expected, split)

    def test_ambiguous_framing_is_rejected_and_nothing_after_it_is_read(self) -> None:
        hidden = b"GET /hidden HTTP/1.1\r\n" + HOST + b"\r\n"
        cases = {
            "both lengths": HOST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "lengths twice": HOST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "lengths in a list": HOST + b"Content-Length: 3, 3\r\n\r\nabc",
            "a signed length": HOST + b"Content-Length: +3\r\n\r\nabc",
            "a bad chunk size": HOST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
            "a hexadecimal prefix": HOST + b"Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
            "chunks terminated by a bare LF": HOST + b"Transfer-Encoding: chunked\r\n\r\n1\na\n0\n\n",
            "another coding": HOST + b"Transfer-Encoding: xchunked\r\n\r\n",
            "chunked not last": HOST + b"Transfer-Encoding: chunked, identity\r\n\r\n",
            "obs-fold": HOST + b"X: a\r\n b\r\n\r\n",
            "a bare LF": HOST[:-2] + b"\nX: b\r\n\r\n",
            "a bare CR": HOST[:-2] + b"\rX: b\r\n\r\n",
            "space before the colon": b"Host : a\r\n\r\n",
            "a NUL byte": b"Host: a\0b\r\n\r\n",
            "no host": b"X: a\r\n\r\n",
            "two hosts": HOST + HOST + b"\r\n",
        }
        for name, rest in cases.items():
            found = read_requests(b"POST / HTTP/1.1\r\n" + rest + hidden)
            self.assertEqual([type(event) for event in found], [RejectedRequest], name)
            self.assertEqual(getattr(found[0], "status", 0), 400, name)

    def test_versions_limits_and_expectations(self) -> None:
        cases = [
            (b"GET / HTTP/2.0\r\n" + HOST + b"\r\n", 505),
            (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"x" * 3000 + b"\r\n\r\n", 431),
            (b"GET /" + b"x" * 3000 + b" HTTP/1.1\r\n" + HOST + b"\r\n", 431),
            (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1001\r\n\r\n", 413),
            (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\n" + HOST + b"Expect: tea\r\n\r\n", 417),
            (b"GET / HTTP/1.1\r\n" + HOST + b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n", 501),
        ]
        for text, status in cases:
            self.assertEqual([getattr(event, "status", 0) for event in read_requests(text)], [status], text[:40])
        chunks = (
            b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n" + b"1ff\r\n" + b"x" * 511 + b"\r\n"
        )
        found = read_requests(chunks + b"1ff\r\n" + b"x" * 511 + b"\r\n")
        self.assertEqual([getattr(event, "status", 0) for event in found], [413])

    def test_endless_header_is_rejected(self) -> None:
        reader, found = RequestReader(1000, 1000), list[Event]()
        reader.feed(b"GET / HTTP/1.1\r\nX: ")
        for _ in range(200):
            found += reader.feed(b"x" * 1000)
        self.assertEqual([getattr(event, "status", 0) for event in found], [431])
        self.assertIs(reader.state, State.OVER)

    def test_100_continue_is_reported_unless_the_body_was_received_with_the_head(self) -> None:
        head = b"POST / HTTP/1.1\r\n" + HOST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        self.assertEqual([type(event) for event in read_requests(head + b"ab")], [HttpRequest])
        self.assertEqual(
            [type(event) for event in read_requests(head + b"ab", len(head))], [ContinueExpected, HttpRequest]
        )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.binary(max_size=300)
        | st.lists(
            st.sampled_from(
                [
                    b"GET / HTTP/1.1\r\n",
                    HOST,
                    b"\r\n",
                    b"Content-Length: 5\r\n",
                    b"5\r\nabcde\r\n",
                    b"0\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b" ",
                    b"\n",
                    b"x",
                    b":",
                ]
            ),
            max_size=12,
        ).map(b"".join),
        st.integers(0, 50),
    )
    def test_arbitrary_bytes_give_the_same_events_however_they_are_split(self, data: bytes, split: int) -> None:
        def summarized(found: list[Event]) -> list[object]:
            rows = [event for event in found if not isinstance(event, ContinueExpected)]
            return [(e.method, e.target, e.headers, e.body) if isinstance(e, HttpRequest) else type(e) for e in rows]

        self.assertEqual(summarized(read_requests(data)), summarized(read_requests(data, split)))


class ResponseReading(unittest.TestCase):
    def read(self, data: bytes, head: bool = False, split: int = 0) -> tuple[Progress, ResponseReader]:
        reader, progress = ResponseReader(1000), Progress.WAITING
        reader.expect(head)
        for part in (data[:split], data[split:]) if split else (data,):
            progress = reader.feed(part) if part and progress is Progress.WAITING else progress
        return progress, reader

    def test_content_length_chunked_close_delimited_and_head_responses(self) -> None:
        cases = [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", False, b"ab", True),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                False,
                b"ab",
                True,
            ),
            (b"HTTP/1.1 204 No Content\r\n\r\n", False, b"", True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", True, b"", False),
            (
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                False,
                b"ab",
                True,
            ),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab", False, b"ab", False),
        ]
        for text, head, body, keep in cases:
            for split in range(len(text)):
                progress, reader = self.read(text, head, split)
                self.assertIs(progress, Progress.COMPLETE, text)
                assert reader.response is not None
                self.assertEqual((reader.response.body, reader.response.keep), (body, keep))
                self.assertEqual((reader.take_response().body, reader.held_bytes, reader.response), (body, 0, None))
        progress, reader = self.read(b"HTTP/1.1 200 OK\r\n\r\nab")
        self.assertEqual(
            (progress, reader.eof(), reader.response and reader.response.body),
            (Progress.WAITING, Progress.COMPLETE, b"ab"),
        )

    def test_truncated_response_is_invalid(self) -> None:
        for text in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nConten",
            b"",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        ):
            _, reader = self.read(text) if text else (None, ResponseReader(10))
            self.assertEqual((reader.eof(), reader.response), (Progress.INVALID, None))

    def test_garbage_a_body_over_the_limit_a_second_response_and_an_upgrade_are_invalid(self) -> None:
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
        for text in (
            b"HTP/1.1 200\r\n\r\n",
            whole + whole,
            b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000,
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        ):
            self.assertIs(self.read(text)[0], Progress.INVALID, text[:30])

    def test_one_reader_parses_many_responses_of_a_keep_alive_connection(self) -> None:
        reader = ResponseReader(1000)
        for number in range(3):
            reader.expect(False)
            body = b"%d" % number
            self.assertIs(reader.feed(serialization.response(200, (), body)), Progress.COMPLETE)
            self.assertEqual(reader.response and reader.response.body, body)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=200) | st.binary(max_size=30).map(lambda tail: b"HTTP/1.1 200 OK\r\n" + tail))
    def test_arbitrary_bytes_raise_no_error(self, data: bytes) -> None:
        _, reader = self.read(data)
        reader.eof()


class Serialization(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.sampled_from(["GET", "POST", "PUT", "DELETE"]), st.binary(max_size=200), st.integers(200, 599))
    def test_serialized_messages_are_parsed_again(self, method: str, body: bytes, status: int) -> None:
        sent = body if method in ("POST", "PUT") else b""
        headers = [(b"host", b"a"), (b"x-y", b"z")]
        (request,) = read_requests(serialization.request(method, b"/p?q", headers, sent))
        assert isinstance(request, HttpRequest)
        self.assertEqual(
            (request.method, request.target, request.body, request.header(b"x-y")), (method, b"/p?q", sent, b"z")
        )
        reader = ResponseReader(1000)
        self.assertIs(reader.feed(serialization.response(status, [(b"x-y", b"z")], body)), Progress.COMPLETE)
        self.assertEqual(reader.response and reader.response.body, b"" if status in (204, 304) else body)

    def test_hop_by_hop_headers_and_those_that_connection_names_are_not_forwarded(self) -> None:
        headers = [
            (b"connection", b"close, X-Mine"),
            (b"x-mine", b"1"),
            (b"te", b"trailers"),
            (b"kept", b"2"),
            (b"ours", b"3"),
        ]
        self.assertEqual(
            serialization.forwarded_headers(headers, serialization.with_hop_by_hop(b"ours")), [(b"kept", b"2")]
        )


if __name__ == "__main__":
    unittest.main()
