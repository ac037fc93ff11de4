"""Tests of servers that answer before they have read a request. Issue 72."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from testing.users_platform import early_answer_server
from testing.users_platform import http_messages
from testing.users_platform import test_requests

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
UPLOAD = 3_000_000 * b"u"
# Of the sample routes: one that may be repeated, one that may not, a stream
# that may not be resumed and one that may.
PATHS = ("/read/", "/flip/", "/digest/", "/task/")
CALLERS = 4


async def send_upload(fleet, path, number):
    """Send a request.

    Returns:
        The status and whether the response looks complete.
    """
    tokens = (
        test_requests.REQUEST_TOKENS if path in ("/digest/", "/task/") else None
    )
    reader, writer = await fleet.connect()
    status = None
    try:
        # A response may come, and the connection end, before all is sent.
        with contextlib.suppress(OSError):
            writer.write(
                fleet.encode_request(
                    path, body=UPLOAD, request_id=f"id-{number}", tokens=tokens
                )
            )
        status, headers = await http_messages.read_response_head(reader)
        async for _ in http_messages.read_body_chunks(reader, headers):
            pass
        return status, True
    except (asyncio.IncompleteReadError, OSError):
        return status, False
    finally:
        writer.transport.abort()


@pytest.fixture(name="send_to_servers")
def make_sender(run_with_fleet):
    """Return a function that sends requests to servers with attributes.

    It returns the status of each response, and whether it looks complete.
    """

    def send(path, attributes):
        async def scenario(fleet):
            await fleet.store_configuration(limits=LIMITS)
            version = fleet.config_version
            while fleet.nodes[0]._state.tracker.version != version:
                await asyncio.sleep(0.01)
            servers = fleet.app_servers + fleet.pool_servers
            for server in servers:
                for name, value in attributes.items():
                    setattr(server, name, value)
            responses = await asyncio.gather(
                *(send_upload(fleet, path, number) for number in range(CALLERS))
            )
            assert sum(server.received_heads for server in servers) > 0
            return responses

        return run_with_fleet(
            scenario,
            make_app_server=early_answer_server.EarlyAnswerServer,
            make_pool_server=early_answer_server.EarlyAnswerServer,
        )

    return send


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "attributes",
    [
        {},
        {"pause_s": 0.1},
        {"read_ratio": 0.5},
        {"read_ratio": 0.5, "pause_s": 0.1},
        {"ending": "abort"},
        {"ending": "abort", "pause_s": 0.1},
        {"framing": "chunks"},
        {"framing": "length"},
        {"framing": "length", "ending": "close"},
    ],
    ids=lambda attributes: ",".join(map(str, attributes.values())) or "at_once",
)
def test_part_of_an_answer_does_not_look_complete(
    send_to_servers, path, attributes
):
    """Guards against an answer cut during an upload that looks whole."""
    for status, complete in send_to_servers(path, attributes):
        assert not (status is not None and status < 300 and complete)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("content_type", [b"text/plain", b"text/event-stream"])
@pytest.mark.parametrize(
    ("framing", "ending"), [("whole", "stay"), ("none", "close")]
)
@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 099 X",
        b"HTTP/1.1 100 X",
        b"HTTP/1.1 600 X",
        b"HTTP/1.1 999 X",
        b"HTTP/1.1 1000 X",
        b"HTTP/1.1 20 X",
        b"HTTP/1.1 -20 X",
    ],
)
def test_answer_with_an_invalid_status_is_no_answer(
    send_to_servers, path, content_type, framing, ending, status_line
):
    """Guards against bytes that are no answer and are passed on as one."""
    attributes = {
        "status_line": status_line,
        "content_type": content_type,
        "framing": framing,
        "ending": ending,
        "read_ratio": 1.0,
    }
    for status, _ in send_to_servers(path, attributes):
        assert status in (502, 503, 504)


@pytest.mark.parametrize("part", [b"p", 300_000 * b"p"], ids=["small", "large"])
@pytest.mark.parametrize("path", ["/read/", "/flip/"])
def test_answer_cut_by_the_end_of_a_process_does_not_look_complete(
    send_to_servers, path, part
):
    """Guards against the connections that a system ends for a process.

    They end like an answer without a length. Review of issue 69, case 6.
    """
    attributes = {"part": part, "read_ratio": 1.0, "ending": "end_process"}
    for status, complete in send_to_servers(path, attributes):
        assert not (status is not None and status < 300 and complete)


@pytest.mark.parametrize("part", [b"p", 300_000 * b"p"], ids=["small", "large"])
@pytest.mark.parametrize("path", ["/read/", "/flip/"])
def test_answer_that_ends_with_its_connection_is_whole(
    send_to_servers, path, part
):
    """Guards against sound answers without a length that are refused."""
    attributes = {"part": part, "read_ratio": 1.0, "ending": "close"}
    assert send_to_servers(path, attributes) == CALLERS * [(200, True)]
