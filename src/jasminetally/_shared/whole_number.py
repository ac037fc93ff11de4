"""Whole numbers in what other processes send."""

from __future__ import annotations

import re

# Python's own conversion also takes signs, underscores and digits that are not
# ASCII, and raises ValueError for thousands of digits.
_NUMBER = re.compile(r"[0-9]{1,18}")


def parse(text: str | bytes) -> int | None:
    """Return the number that a text states.

    Args:
        text: Text; bytes are read as Latin-1.

    Returns:
        The number; None unless the text consists of 1 to 18 digits.
    """
    if isinstance(text, bytes):
        text = text.decode("latin-1")
    return int(text) if _NUMBER.fullmatch(text) else None
