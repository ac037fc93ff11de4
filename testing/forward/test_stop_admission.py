"""Tests of what a router accepts while it shuts down."""

from __future__ import annotations

import types

import pytest

from jasminetally._forward import answer_times
from jasminetally._forward import stop_admission

END_S = 7.0


def make_job(deadline_s):
    route = types.SimpleNamespace(name="digest")
    return types.SimpleNamespace(route=route, deadline_s=deadline_s)


@pytest.mark.parametrize(
    ("answers_s", "now_s", "deadline_s", "accepted"),
    [
        ([2.0], 1.0, 20.0, True),
        ([2.0], stop_admission.LIKELY_ACCEPTED_S + 0.1, 20.0, False),
        ([2.0], 5.0, 6.9, True),
        ([5.5], 0.4, 20.0, True),
        ([5.5], 0.6, 20.0, False),
        ([5.5], 0.6, 6.9, True),
        # One answer in ten may take longer.
        ([1.0] * 19 + [60.0], 2.0, 20.0, True),
        ([1.0] * 10 + [60.0] * 10, 2.0, 20.0, False),
        ([], 2.0, 20.0, True),
        ([], stop_admission.LIKELY_ACCEPTED_S + 0.1, 20.0, False),
    ],
)
def test_only_what_can_be_answered_in_time_is_accepted(
    answers_s, now_s, deadline_s, accepted
):
    """Guards against responses that the end of the process cuts."""
    times = answer_times.AnswerTimes()
    for seconds in answers_s:
        times.observe("digest", seconds)
    admission = stop_admission.StopAdmission(times)
    assert admission.accepts(make_job(deadline_s), now_s)
    admission.begin(0.0, END_S)
    assert admission.accepts(make_job(deadline_s), now_s) == accepted
