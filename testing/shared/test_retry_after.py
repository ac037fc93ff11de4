"""Tests of the reading of Retry-After headers."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies
import pytest

from jasminetally._shared import retry_after

# 2026-12-04 06:00:00 UTC
NOW_S = 1_796_364_000.0


@pytest.mark.parametrize(
    ("text", "delay_s", "exact"),
    [
        ("2", 2.0, True),
        (" 0.25 ", 0.25, True),
        ("0", 0.0, True),
        (".5", 0.5, True),
        ("Fri, 04 Dec 2026 06:00:30 GMT", 30.0, True),
        ("Fri, 04 Dec 2026 05:00:00 GMT", 0.0, True),
        ("7200", retry_after.MAX_DELAY_S, False),
        ("Fri, 04 Dec 2036 06:00:00 GMT", retry_after.MAX_DELAY_S, False),
        ("-3", 0.0, False),
        ("inf", retry_after.DEFAULT_DELAY_S, False),
        ("nan", retry_after.DEFAULT_DELAY_S, False),
        ("1e400", retry_after.DEFAULT_DELAY_S, False),
        ("9" * 400, retry_after.MAX_DELAY_S, False),
        ("soon", retry_after.DEFAULT_DELAY_S, False),
        ("", retry_after.DEFAULT_DELAY_S, False),
        ("Fri, 99 Foo 2026 06:00:30 GMT", retry_after.DEFAULT_DELAY_S, False),
    ],
)
def test_value_stands_for_a_bounded_delay(text, delay_s, exact):
    """Guards against values that exclude their sender for ever."""
    found = retry_after.parse(text, time_of_day_s=NOW_S)
    assert found == retry_after.RetryAfter(delay_s, exact)


@given(strategies.text(max_size=40))
def test_any_text_stands_for_a_bounded_delay(text):
    """Guards against headers whose bytes stop the reader."""
    found = retry_after.parse(text, time_of_day_s=NOW_S)
    assert 0.0 <= found.delay_s <= retry_after.MAX_DELAY_S
    assert not math.isnan(found.delay_s)
