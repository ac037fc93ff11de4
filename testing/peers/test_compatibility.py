"""Tests that this build reads what the last landed one sends and stores.

``recorded_dd8e0ed.json`` has a frame of each kind of message, and stored
objects, of that build. docs/compatibility.md lists the changes since.
"""

from __future__ import annotations

import json
import pathlib

import msgspec
import pytest

from jasminetally._peers import frame_codec
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._prepaid import pool_record

RECORDED = json.loads(
    (pathlib.Path(__file__).parent / "recorded_dd8e0ed.json").read_text()
)


@pytest.mark.parametrize("name", RECORDED["frames"])
def test_frame_of_the_last_build_is_read(name):
    """Guards against an upgrade in which routers don't understand another."""
    frame = bytes.fromhex(RECORDED["frames"][name])
    [(call_number, message)] = frame_codec.FrameReader().feed(frame)
    assert call_number == 5
    assert type(message).__name__ == name


def test_missing_fields_have_the_meaning_of_the_last_build():
    """Guards against a default that an older router does not mean."""

    def read(name):
        frame = bytes.fromhex(RECORDED["frames"][name])
        return frame_codec.FrameReader().feed(frame)[0][1]

    status = read("Status")
    assert isinstance(status, peer_messages.Status)
    # It can't be followed, and tells nothing about evacuations.
    assert (status.servers_version, status.evacuations) == (0, None)
    # All its requests count as urgent, as they did.
    assert read("TakeTokens").rank == 0
    # It names neither witnesses nor the ceilings of other epochs.
    assert read("StoreCeilings").witness_sets == []
    assert not read("CloseEpoch").all_epochs
    assert not read("EpochClosed").all_epochs
    # It tells no other origins, and asks for none.
    assert read("FindOrigin").path == ""
    assert read("OriginFound").recent is None


def test_stored_objects_of_the_last_build_are_read():
    """Guards against budgets that a new build can't take over."""
    record = pool_record.decode(RECORDED["stored"]["pool"].encode())
    assert record.epoch == 3
    assert record.accounts["acme"].limit == 900
    assert len(record.witnesses) == 3
    identity = msgspec.json.decode(
        RECORDED["stored"]["node"], type=node_identity.NodeIdentity
    )
    assert identity.data_centre == "hall"
