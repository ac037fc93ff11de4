"""Tests of excerpts of text that others have sent."""

from __future__ import annotations

from jasminetally._shared import excerpt


def test_long_text_is_cut():
    """Guards against log lines and errors as long as what a caller sends."""
    text = 16_000 * "x"
    assert len(excerpt.of(text)) < excerpt.MAX_CHARACTERS + 30
    assert "16000" in excerpt.of(text)


def test_short_text_is_kept():
    """Guards against errors that hide what was found."""
    assert excerpt.of("/none/") == "/none/"
