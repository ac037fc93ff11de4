"""Decoding of JSON of which parts may be unreadable.

A list of objects in the store is one document, and any program may have
written one of the objects. What a strict decoder refuses in it must not hide
the others.
"""

from __future__ import annotations

import json
import re
from typing import Any

import msgspec

# Depth below which values are left out. Documents that are read have a few
# levels, and decoders fail at some hundred.
MAX_DEPTH = 64
# Digits of an integer above which it is left out; no field needs more than 64
# bits.
MAX_INTEGER_DIGITS = 20

# A known escape, or a backslash that begins none. There are backslashes in
# strings only.
_ESCAPE = re.compile(r'\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4})|(\\)')
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{}]', re.DOTALL)


def decode(data: bytes) -> Any:
    """Decode a document.

    Values that nest too deeply and integers with too many digits are replaced
    by None. Strings may hold control characters, backslashes that begin no
    escape, and surrogates, also for bytes that are not UTF-8.

    Args:
        data: The document.

    Raises:
        ValueError: It is not JSON.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        text = _without_deep_values(data).decode(errors="surrogateescape")
        return json.loads(
            _ESCAPE.sub(lambda found: "\\\\" if found[1] else found[0], text),
            parse_int=_parse_integer,
            strict=False,
        )


def _parse_integer(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else None


def _without_deep_values(data: bytes) -> bytes:
    """Replace arrays and objects below ``MAX_DEPTH`` by null."""
    pieces = []
    depth = kept_from = 0
    for token in _TOKEN.finditer(data):
        match token[0]:
            case b"[" | b"{":
                if depth == MAX_DEPTH:
                    pieces += [data[kept_from : token.start()], b"null"]
                depth += 1
            case b"]" | b"}":
                depth -= 1
                if depth == MAX_DEPTH:
                    kept_from = token.end()
    return b"".join([*pieces, data[kept_from:]])
