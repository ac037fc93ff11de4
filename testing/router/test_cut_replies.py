"""Tests of backend server replies that are cut before their end."""

from __future__ import annotations

import pytest

from jasminetally._router import backend_client
from jasminetally._router import response_reader
from jasminetally._router import stream_fault
from testing.shared import reply_cuts

REPLY = reply_cuts.Reply(
    200, b'{"tokens": 12, "models": []}', ("Content-Type: application/json",)
)


@pytest.fixture
def client():
    created = backend_client.BackendClient()
    yield created
    created.close()


def call_service(client, address) -> bytes | None:
    """Call a plain service; return its body, None for an unknown outcome."""
    try:
        return client.call_service(
            address, "/a", b"x", request_id="r", headers={}, timeout_s=5
        ).body
    except stream_fault.StreamFaultError as exc:
        assert exc.kind == "RESET"
        return None


@pytest.mark.parametrize(("reset", "kept"), reply_cuts.ALL_CUTS)
@pytest.mark.parametrize("framing", reply_cuts.FRAMINGS)
@pytest.mark.parametrize("verb", ["service", "json", "cancel"])
def test_cut_reply_is_not_used(scripted, client, verb, framing, reset, kept):
    """Guards against a cut head that counts as a reply without a body."""
    address = scripted.address
    call = {
        "service": lambda: call_service(client, address) is not None,
        "json": lambda: client.read_json(address, "/a") is not None,
        "cancel": lambda: client.cancel_stream(address, "s") is not None,
    }[verb]
    data = REPLY.encode(framing)
    for sent in (data, reply_cuts.INTERIM + data):
        missed = reply_cuts.cuts_taken_for_whole(
            scripted, call, sent, whole=data, reset=reset, kept=kept
        )
        assert not missed


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "reset"])
def test_body_that_ends_with_the_connection_needs_a_whole_head(
    scripted, client, reset
):
    """Guards against a cut head of a service that sends no length."""
    data = REPLY.encode("none")
    head_bytes = data.index(b"\r\n\r\n") + 4
    missed = reply_cuts.cuts_taken_for_whole(
        scripted,
        lambda: call_service(client, scripted.address) is not None,
        data,
        whole=data,
        reset=reset,
        kept=False,
    )
    assert not [offset for offset in missed if offset < head_bytes or reset]
    assert call_service(client, scripted.address) == REPLY.body


@pytest.mark.parametrize("framing", [*reply_cuts.FRAMINGS, "none"])
@pytest.mark.parametrize("interim", [b"", reply_cuts.INTERIM])
def test_cut_stream_is_not_complete(framing, interim):
    """Guards against a part of a stream that is relayed as all of it."""
    data = interim + REPLY.encode(framing)
    head_bytes = data.rindex(b"\r\n\r\n", 0, data.index(b"{")) + 4
    for offset in range(len(data)):
        reader = response_reader.ResponseReader()
        reader.feed(data[:offset])
        if framing == "none" and offset >= head_bytes:
            continue
        with pytest.raises(ValueError, match="closed before"):
            reader.finish()
