"""Tests of the event table in docs/OPERATIONS.md against the code."""

from __future__ import annotations

import pathlib
import re

from jasminetally._observe import events

ROOT = pathlib.Path(__file__).parents[2]


def documented_events() -> dict[str, tuple[str, str]]:
    """Return the fields and occasion of each event in the page's table."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    start = page.index("| event | fields | when |")
    rows = page[start : page.index("\n\n", start)].splitlines()[2:]
    cells = [[cell.strip() for cell in row.split("|")] for row in rows]
    return {cell[1].strip("`*"): (cell[2], cell[3]) for cell in cells}


def declared_events() -> dict[str, tuple[str, str]]:
    """Return the fields and docstring summary of each event class."""
    declared = {}
    for event_type in events.catalogue():
        name = event_type.__struct_config__.tag
        fields = ", ".join(event_type.__struct_fields__)
        declared[name] = (
            fields,
            (event_type.__doc__ or "").strip().splitlines()[0],
        )
    return declared


def test_page_documents_every_event_with_its_fields():
    """Guards against events or fields that operators can't look up."""
    assert documented_events() == declared_events()


def test_every_declared_event_is_emitted_somewhere():
    """Guards against alerts on events that no code emits any more."""
    text = "".join(path.read_text() for path in (ROOT / "src").rglob("*.py"))
    for event_type in events.catalogue():
        assert re.search(rf"events\.{event_type.__name__}\(", text), (
            event_type.__name__
        )
