"""Tests of when others' answers confirm that streams have one origin only."""

from __future__ import annotations

import pytest

from jasminetally._peers import peer_messages
from jasminetally._streams import origin_survey
from jasminetally._streams import stream_origin

ONLY = stream_origin.StreamOrigin("pool", "v1")
SECOND = ("pool", "v2")
EXPIRED = stream_origin.StreamOrigin("pool", "v0")


def answer(*recent, complete=True):
    return peer_messages.OriginFound("", "", list(recent), complete)


@pytest.mark.parametrize("hears_of_changes", [False, True])
@pytest.mark.parametrize(
    ("replies", "confirmed_alone", "confirmed"),
    [
        ([], False, True),
        ([None], False, True),
        ([answer(tuple(ONLY))], True, True),
        ([answer(tuple(ONLY), SECOND)], False, False),
        ([answer(tuple(ONLY)), answer(SECOND)], False, False),
        # A router that has just started.
        ([answer(tuple(ONLY), complete=False)], False, True),
        ([answer(complete=False)], False, True),
        ([answer(SECOND, complete=False)], False, False),
        # One that has read of a version when it started.
        ([answer(tuple(ONLY), tuple(EXPIRED))], True, True),
        ([answer(tuple(EXPIRED))], False, True),
        # One that doesn't know the route yet.
        ([answer()], False, True),
        # One of an older build.
        ([peer_messages.OriginFound("", "")], True, True),
    ],
)
def test_only_origin_needs_others_or_news_from_the_store(
    replies, confirmed_alone, confirmed, hears_of_changes
):
    """Guards against certainty that a router has only for want of news."""
    survey = origin_survey.OriginSurvey(ONLY, lambda origin: origin == EXPIRED)
    for reply in replies:
        survey.on_reply(reply)
    expected = confirmed if hears_of_changes else confirmed_alone
    assert survey.confirms(hears_of_changes=hears_of_changes) == expected
