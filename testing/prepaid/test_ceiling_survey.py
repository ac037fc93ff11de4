"""Tests of what routers' answers prove about the last owner of a shard."""

from __future__ import annotations

import pytest

from jasminetally._peers import peer_messages
from jasminetally._prepaid import ceiling_survey

WITNESSES = ("b", "c", "d")


def answer(epoch, number, tokens, *witness_sets):
    return peer_messages.EpochClosed(
        number, {"acme": tokens}, True, epoch, list(witness_sets)
    )


NOTHING = peer_messages.EpochClosed(0, {}, True)


@pytest.mark.parametrize(
    ("answers", "conclusive", "tokens"),
    [
        ({}, False, 0),
        ({"b": NOTHING, "c": NOTHING, "d": NOTHING}, False, 0),
        # One witness may be lost, but not two: a majority held more.
        ({"b": answer(1, 1, 9, WITNESSES), "c": NOTHING}, True, 9),
        ({"b": answer(1, 1, 9, WITNESSES), "e": NOTHING}, False, 9),
        # The newest vector counts, also if an older one is higher.
        (
            {
                "b": answer(1, 1, 9, WITNESSES),
                "c": answer(1, 2, 7, WITNESSES),
            },
            True,
            7,
        ),
        # So does the highest epoch.
        (
            {
                "b": answer(1, 8, 9, WITNESSES),
                "c": answer(1, 8, 9, WITNESSES),
                "e": answer(2, 1, 8, ("e", "f", "g")),
            },
            False,
            8,
        ),
        # The older of two groups may no longer get ceilings.
        (
            {
                "b": answer(1, 1, 9, ("b", "x", "y"), WITNESSES),
                "d": NOTHING,
            },
            False,
            9,
        ),
        (
            {
                "b": answer(1, 1, 9, ("b", "x", "y"), WITNESSES),
                "d": NOTHING,
                "x": NOTHING,
            },
            True,
            9,
        ),
        # An older build does not name the witnesses.
        ({"b": answer(1, 1, 9), "c": answer(1, 1, 9)}, False, 9),
    ],
)
def test_survey_is_conclusive_if_no_majority_is_missing(
    answers, conclusive, tokens
):
    """Guards against a count below what the owner has handed out."""
    survey = ceiling_survey.CeilingSurvey()
    for incarnation, given in answers.items():
        survey.on_answer(incarnation, given)
    assert survey.is_conclusive == conclusive
    assert survey.ceilings.get("acme", 0) == tokens
