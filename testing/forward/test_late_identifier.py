"""Tests of the identification of a process after its stream has begun."""

from __future__ import annotations

import asyncio
import types

import pytest

from jasminetally._forward import late_identifier
from jasminetally._placing import process_versions
from jasminetally._placing import server_entry
from jasminetally._shared import background_tasks
from jasminetally._streams import process_label

ENTRY = server_entry.ServerEntry(
    "a", "pool", "10.0.0.1:80", "hall", 4, False, 1, "v1"
)
UNKNOWN = process_label.unknown("a")
# Monotonic time at which the entry has become known.
KNOWN_S = 10.0


@pytest.fixture
def identify(log, monkeypatch):
    """Return a function that identifies a stream and returns its origins.

    It returns the version that its request needs, too.
    """
    monkeypatch.setattr(late_identifier, "QUERY_INTERVAL_S", 0.0)

    def run(reports, *, connect_began_s=KNOWN_S + 1.0):
        versions = process_versions.ProcessVersions(lambda: KNOWN_S)
        versions.add(ENTRY)
        answers = iter(reports)

        async def ask_start(server):
            assert server == ENTRY
            return next(answers, None)

        found = []
        job = types.SimpleNamespace(
            stream_id="s", service="pool", required_version=UNKNOWN
        )

        async def main():
            tasks = background_tasks.BackgroundTasks(log)
            late_identifier.LateIdentifier(
                types.SimpleNamespace(ask_start=ask_start),
                versions,
                types.SimpleNamespace(
                    on_identified=lambda *origin: found.append(origin)
                ),
                tasks,
            ).start(
                job,
                ENTRY,
                types.SimpleNamespace(connect_began_s=connect_began_s),
            )
            for _ in range(20):
                await asyncio.sleep(0)

        asyncio.run(main())
        return found, job.required_version

    return run


@pytest.mark.parametrize("reports", [[1], [None, None, 1]])
def test_process_known_before_and_after_has_begun_the_stream(identify, reports):
    """Guards against refusals after a report that came too late."""
    assert identify(reports) == ([("s", ("pool", "v1"))], "v1")


@pytest.mark.parametrize(
    ("reports", "connect_began_s"),
    [
        # Another process serves by now.
        ([2], KNOWN_S + 1.0),
        # The process may have started after the connection was opened.
        ([1], KNOWN_S),
        ([], KNOWN_S + 1.0),
    ],
)
def test_process_stays_unknown_where_another_may_have_served(
    identify, reports, connect_began_s
):
    """Guards against a version of the process after the one that began it."""
    found = identify(reports, connect_began_s=connect_began_s)
    assert found == ([], UNKNOWN)
