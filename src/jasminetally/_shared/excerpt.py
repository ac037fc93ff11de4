"""Excerpts of text that others have sent, for messages and the log."""

from __future__ import annotations

MAX_CHARACTERS = 200


def of(text: str) -> str:
    """Return a text, cut after ``MAX_CHARACTERS`` with its length behind.

    Args:
        text: Text of any length.
    """
    if len(text) <= MAX_CHARACTERS:
        return text
    return f"{text[:MAX_CHARACTERS]}... ({len(text)} characters)"
