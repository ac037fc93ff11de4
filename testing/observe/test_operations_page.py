"""Test that docs/OPERATIONS.md lists the events that the code writes."""

from __future__ import annotations

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
EMIT = re.compile(r'\.emit\(\s*"([a-z_]+)"')


def test_every_event_is_on_the_page_and_none_else():
    """Guards against a log line that an engineer can't look up."""
    written = {"lines_left_out"}
    for path in (ROOT / "src").rglob("*.py"):
        written.update(EMIT.findall(path.read_text()))
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    start = page.index("| event | fields | when |")
    table = page[start : page.index("\n\n", start)]
    listed = {"lines_left_out"}
    for row in table.splitlines()[2:]:
        first = row.split("|")[1]
        listed.update(re.findall(r"`([a-z_]+)`", first))
    assert listed == written
