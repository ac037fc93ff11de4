"""Tests of whole numbers in what other processes send."""

from __future__ import annotations

import pytest

from jasminetally._shared import whole_number


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("0", 0),
        ("007", 7),
        ("9" * 18, 10**18 - 1),
        ("9" * 19, None),
        ("9" * 5_000, None),
        ("", None),
        ("-1", None),
        ("+1", None),
        ("1_0", None),
        ("1 ", None),
        ("²", None),
    ],
)
def test_only_plain_digits_are_a_number(text, number):
    """Guards against exceptions, and against what int() takes for a number."""
    assert whole_number.parse(text) == number
    assert whole_number.parse(text.encode("latin-1")) == number
