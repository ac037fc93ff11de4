"""Tests of the in-memory object store."""

from __future__ import annotations

import pytest

from jasminetally import _errors
from jasminetally._platform import memory


def test_update_at_an_old_version_is_rejected():
    """Guards against a lost update when two writers race."""
    platform = memory.MemoryPlatform()
    first = platform.create("account/a", b"1")
    platform.update("account/a", b"2", expected_version=first)
    with pytest.raises(_errors.VersionConflictError):
        platform.update("account/a", b"3", expected_version=first)
    assert platform.get("account/a").value == b"2"


def test_create_of_an_existing_object_is_rejected():
    """Guards against two routers that both claim one request."""
    platform = memory.MemoryPlatform()
    platform.create("account/a", b"1")
    with pytest.raises(_errors.VersionConflictError):
        platform.create("account/a", b"2")


def test_watch_reports_a_delete():
    """Guards against a deletion that a watch doesn't report."""
    platform = memory.MemoryPlatform()
    version = platform.create("router/a", b"1")
    platform.delete("router/a", expected_version=version)
    changes = platform.watch("router/", after_version=version, timeout_s=0)
    assert [change.value for change in changes.entries] == [None]
