"""Tests of the versions of servers' processes."""

from __future__ import annotations

from jasminetally._placing import process_versions
from jasminetally._placing import server_entry
from jasminetally._placing import server_process

ENTRY = server_entry.ServerEntry(
    "a", "engines", "10.0.0.1:80", "hall", 4, False, 1, "v1"
)
FIRST = server_process.ServerProcess("a", 1)
SECOND = server_process.ServerProcess("a", 2)


def test_version_is_kept_for_each_process_of_a_server():
    """Guards against the version of a later process under the same id."""
    versions = process_versions.ProcessVersions()
    versions.add(ENTRY)
    assert versions.get(SECOND) is None
    versions.add(ENTRY._replace(started_ms=2, version="v2"))
    assert (versions.get(FIRST), versions.get(SECOND)) == ("v1", "v2")


def test_process_is_known_since_its_first_entry():
    """Guards against a process that is taken for an earlier one."""
    versions = process_versions.ProcessVersions(iter([1.0, 2.0]).__next__)
    assert versions.known_since_s(FIRST) == float("inf")
    versions.add(ENTRY)
    versions.add(ENTRY)
    assert versions.known_since_s(FIRST) == 1.0


def test_entry_without_a_start_names_no_process():
    """Guards against processes that can't be told apart."""
    versions = process_versions.ProcessVersions()
    versions.add(ENTRY._replace(started_ms=0))
    assert not versions.in_use


def test_oldest_processes_are_forgotten(monkeypatch):
    """Guards against memory that grows with each restart."""
    monkeypatch.setattr(process_versions, "MAX_PROCESSES", 2)
    versions = process_versions.ProcessVersions()
    versions.add(ENTRY)
    versions.add(ENTRY._replace(started_ms=2))
    versions.add(ENTRY)
    versions.add(ENTRY._replace(started_ms=3))
    assert versions.get(SECOND) is None
    assert versions.get(FIRST) == "v1"
