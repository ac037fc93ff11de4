"""Tests of decoding JSON of which parts are unreadable."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from jasminetally._platform import lenient_json

MAX_DEPTH = lenient_json.MAX_DEPTH
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.text(strategies.characters(exclude_categories=["Cs"])),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text('ab[]{}"\\'), inner)
    ),
)


def document(odd: bytes) -> bytes:
    return b'{"items": [{"odd": %b}, {"sound": "yes"}]}' % odd


@pytest.mark.parametrize(
    ("odd", "expected"),
    [
        (b"9" * 400, None),
        (b"9" * 5000, None),
        (b"1e400", float("inf")),
        (b'"\\ud800"', "\ud800"),
        (b'"\\ud800\\"]"', '\ud800"]'),
        (b'"\xff"', "\udcff"),
        (b'"a\nb\tc\x00"', "a\nb\tc\x00"),
        (b'"a\\xb\\\\c\\""', 'a\\xb\\c"'),
        (b'"\\u12g4\\u0041"', "\\u12g4A"),
    ],
    ids=[
        "400-digits",
        "5000-digits",
        "exponent",
        "surrogate",
        "quote",
        "bytes",
        "control-characters",
        "unknown-escape",
        "unfinished-escape",
    ],
)
def test_unreadable_value_does_not_hide_the_others(odd, expected):
    """Guards against a list that one odd entry makes unreadable."""
    decoded = lenient_json.decode(document(odd))
    assert decoded["items"][1] == {"sound": "yes"}
    if odd != b"9" * 400:
        assert decoded["items"][0] == {"odd": expected}


@pytest.mark.parametrize("opening", [b"[", b'{"a":', b'[{"]":'])
def test_deeply_nested_value_does_not_hide_the_others(opening):
    """Guards against a decoder that ends for lack of stack."""
    closing = opening[::-1].translate(bytes.maketrans(b"[{", b"]}"))
    closing = bytes(byte for byte in closing if byte in b"]}")
    if opening == b'[{"]":':
        closing = b"}]"
    odd = opening * 100_000 + b"1" + closing * 100_000
    assert lenient_json.decode(document(odd))["items"][1] == {"sound": "yes"}


@given(VALUES)
def test_sound_document_is_decoded_as_by_the_standard_library(value):
    """Guards against content that the second decoder reads differently."""
    data = json.dumps([value, "\ud800"]).encode()
    assert lenient_json.decode(data) == [value, "\ud800"]
    assert lenient_json.decode(json.dumps(value).encode()) == value


@pytest.mark.parametrize("data", [b"", b"{", b"[" * 200_000, b"no", b'{"a"}'])
def test_what_is_not_json_raises_value_error(data):
    """Guards against replies cut short that are taken for empty lists."""
    with pytest.raises(ValueError):
        lenient_json.decode(data)
