"""Tests of one attempt to have a server run a request."""

from __future__ import annotations

import asyncio
import types

import pytest

from jasminetally._forward import attempt_result
from jasminetally._forward import server_attempt
from jasminetally._placing import server_entry
from jasminetally._placing import server_registry

ENTRY = server_entry.ServerEntry(
    "a", "engines", "10.0.0.1:80", "hall", 4, False, 1, "v1"
)


class ChangingPool:
    """Pool that changes a server's entry while a connection is opened."""

    def __init__(self, on_lease, process_started_ms) -> None:
        self._on_lease = on_lease
        self._process_started_ms = process_started_ms

    async def lease(self, server, *, repeatable, fresh):
        """Return a connection after the change."""
        del server, repeatable, fresh
        self._on_lease()
        return types.SimpleNamespace(
            process_started_ms=self._process_started_ms
        )

    def release(self, address, conn) -> None:
        """Ignore that a connection comes back."""

    def discard(self, address, conn) -> None:
        """Ignore that a connection is closed."""


async def admit(size, urgency):
    del urgency
    return size


class SentError(Exception):
    """The request is sent."""


def run_attempt(changed_entry, *, required_version, process_started_ms=2):
    """Run an attempt at a server whose entry changes as it is connected to.

    Args:
        changed_entry: The entry after the change.
        required_version: Version that the request needs.
        process_started_ms: Start of the process behind the connection.
    """
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(ENTRY)
    job = types.SimpleNamespace(
        prompt_tokens=0,
        prompt_parts=(),
        route=types.SimpleNamespace(repeatable=True, resumable=True),
        tried_addresses=set(),
        request=types.SimpleNamespace(body=b""),
        urgency=None,
        service=ENTRY.service,
        required_version=required_version,
    )
    pool = ChangingPool(
        lambda: registry.on_entry_changed(changed_entry), process_started_ms
    )
    attempt = server_attempt.ServerAttempt(
        job,
        None,
        registry.get(ENTRY.server_id),
        pool=pool,
        identifier=pool,
        versions=registry.process_versions,
        names=None,
        notices=None,
        link=types.SimpleNamespace(admit=admit),
        on_sent=None,
        on_first_part=None,
    )

    async def note_sent(conn, first_bytes):
        raise SentError

    attempt._send_and_relay = note_sent
    return asyncio.run(attempt.run())


@pytest.mark.parametrize(
    ("change", "required_version"),
    [
        ({"version": "v2"}, "v1"),
        ({"service": "other"}, None),
        ({"address": "10.0.0.2:80"}, None),
    ],
)
def test_request_is_withheld_from_a_server_that_was_replaced(
    change, required_version
):
    """Guards against streams joined from two versions after a restart."""
    result = run_attempt(
        ENTRY._replace(started_ms=2, **change),
        required_version=required_version,
    )
    assert isinstance(result, attempt_result.Withheld)


@pytest.mark.parametrize(
    ("change", "required_version"),
    [({"started_ms": 2, "version": "v2"}, None), ({"started_ms": 2}, "v1")],
)
def test_request_is_sent_to_a_server_that_still_fits(change, required_version):
    """Guards against refusals after each restart of a server."""
    with pytest.raises(SentError):
        run_attempt(ENTRY._replace(**change), required_version=required_version)


def test_stream_goes_on_once_its_process_is_named():
    """Guards against refusals when the entry arrives during an attempt."""
    with pytest.raises(SentError):
        run_attempt(
            ENTRY._replace(started_ms=3, version="v2"),
            required_version="process a started 3",
            process_started_ms=3,
        )


@pytest.mark.parametrize("process_started_ms", [3, None])
def test_stream_does_not_go_on_at_a_process_that_no_entry_names(
    process_started_ms,
):
    """Guards against a version taken from the entry of an earlier process."""
    result = run_attempt(
        ENTRY, required_version="v1", process_started_ms=process_started_ms
    )
    assert isinstance(result, attempt_result.Withheld)


@pytest.mark.parametrize(
    ("process_started_ms", "required_version"),
    [
        (3, None),
        (None, None),
        # The server doesn't state when it has started.
        (0, "v1"),
        # A connection to the process before, whose version is known.
        (1, "v1"),
        (3, "process a started 3"),
    ],
)
def test_request_is_sent_where_the_process_fits(
    process_started_ms, required_version
):
    """Guards against refusals while the entry of a new process is late."""
    with pytest.raises(SentError):
        run_attempt(
            ENTRY._replace(started_ms=2, version="v2")
            if process_started_ms == 1
            else ENTRY,
            required_version=required_version,
            process_started_ms=process_started_ms,
        )
