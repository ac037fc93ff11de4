"""Tests of router replies that are cut before their end."""

from __future__ import annotations

import pytest

from jasminetally._cli import histogram_reader
from testing.shared import reply_cuts


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "reset"])
@pytest.mark.parametrize("framing", reply_cuts.FRAMINGS)
def test_cut_reply_has_no_histograms(scripted, framing, reset):
    """Guards against an empty summary of a router that broke off."""
    data = reply_cuts.Reply(200, b"{}").encode(framing)
    address = scripted.address

    def is_whole() -> bool:
        return histogram_reader.read_histograms([address])[address] is not None

    missed = reply_cuts.cuts_taken_for_whole(
        scripted, is_whole, data, whole=data, reset=reset, kept=False
    )
    assert not missed
