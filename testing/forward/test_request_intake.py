"""Tests of what a caller has sent and what is not handled yet. Issue 72."""

from __future__ import annotations

import pytest

from jasminetally._deployment import caller_limits
from jasminetally._forward import request_assembler
from jasminetally._forward import request_intake
from jasminetally._overload import object_costs

LIMITS = caller_limits.CallerLimits(
    max_header_bytes=16_384,
    max_body_bytes=100_000,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LINES = 3_000 * b"a:\r\n"


@pytest.fixture(name="intake")
def make_intake():
    return request_intake.RequestIntake(lambda: LIMITS, lambda: None)


def parse_all(intake, data):
    """Parse data while the intake takes any; return the number of pieces."""
    intake.add(data)
    pieces = 0
    while intake.may_parse and intake.rejection is None:
        intake.parse_piece()
        pieces += 1
    return pieces


def test_many_header_lines_cost_more_than_their_bytes(intake):
    """Guards against a charge by bytes on the wire."""
    parse_all(intake, HEAD + LINES)
    assert intake.rejection is None
    assert intake.held_bytes > 3_000 * object_costs.HEADER_BYTES


@pytest.mark.parametrize(
    ("start", "repeated", "code"),
    [
        (HEAD, b"a:\r\n", "head_too_large"),
        (HEAD + b"a: ", b"x", "head_too_large"),
        (b"GET /", b"x", "head_too_large"),
        (CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n", "trailer_too_large"),
        (CHUNKED + b"1\r\nx\r\n0\r\na:", b"x", "trailer_too_large"),
        (CHUNKED + b"1;", b"x", "trailer_too_large"),
        (CHUNKED, b"2\r\nab\r\n", "body_too_large"),
    ],
    ids=["lines", "value", "target", "trailer", "trailer_value", "ext", "body"],
)
def test_input_beyond_a_limit_is_rejected_before_it_is_parsed(
    intake, start, repeated, code
):
    """Guards against a read that is parsed in full before a limit applies."""
    data = start + (1_048_576 // len(repeated)) * repeated
    pieces = parse_all(intake, data)
    assert intake.rejection.code == code
    assert pieces < len(data) / request_assembler.PIECE_BYTES / 2
    intake.drop_unfinished()
    assert intake.held_bytes == 0


def test_body_in_small_chunks_costs_its_bytes(intake):
    """Guards against an object for each chunk of a body."""
    parse_all(intake, CHUNKED + 40_000 * b"2\r\nab\r\n")
    assert intake.held_bytes < 80_000 + request_assembler.PIECE_BYTES
    parse_all(intake, b"0\r\n\r\n")
    assert intake.pop().request.body == 40_000 * b"ab"
    assert intake.held_bytes == 0


def test_parsing_pauses_when_requests_wait(intake):
    """Guards against requests behind others that fill the memory."""
    request = HEAD + b"Content-Length: 4000\r\n\r\n" + 4_000 * b"b"
    parse_all(intake, 100 * request)
    waiting = len(intake.queue)
    assert waiting >= request_intake.PIPELINED_REQUESTS_LIMIT
    assert waiting <= request_intake.PIPELINED_REQUESTS_LIMIT + 2
    assert intake.has_unparsed
    while intake.queue:
        assert intake.pop().request.body == 4_000 * b"b"
        waiting -= 1
        while intake.may_parse:
            intake.parse_piece()
    assert not intake.has_unparsed


def test_request_takes_more_while_it_is_handled(intake):
    """Guards against copies of a body that are not counted."""
    parse_all(intake, HEAD + b"Content-Length: 5000\r\n\r\n" + 5_000 * b"b")
    queued = intake.pop()
    assert queued.size > 5_000
    assert queued.handled_size >= queued.size + 2 * 5_000
