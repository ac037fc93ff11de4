"""Test that docs/OPERATIONS.md lists the events that the code writes."""

from __future__ import annotations

import pathlib
import re

from jasminetally._observe import events

ROOT = pathlib.Path(__file__).parents[2]


def listed() -> dict[str, tuple[str, str]]:
    """Return fields and occasion of each event on the page."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    start = page.index("| event | fields | when |")
    rows = page[start : page.index("\n\n", start)].splitlines()[2:]
    cells = [[cell.strip() for cell in row.split("|")] for row in rows]
    return {cell[1].strip("`*"): (cell[2], cell[3]) for cell in cells}


def declared() -> dict[str, tuple[str, str]]:
    """Return fields and occasion of each event in the code."""
    found = {}
    for kind in events.catalogue():
        name = kind.__struct_config__.tag
        fields = ", ".join(kind.__struct_fields__)
        found[name] = (fields, (kind.__doc__ or "").strip().splitlines()[0])
    return found


def test_page_lists_every_event_with_its_fields():
    """Guards against a log line or field that an engineer can't look up."""
    assert listed() == declared()


def test_every_declared_event_is_written():
    """Guards against alarms on events that no code writes any more."""
    text = "".join(path.read_text() for path in (ROOT / "src").rglob("*.py"))
    for kind in events.catalogue():
        assert re.search(rf"events\.{kind.__name__}\(", text), kind.__name__
