"""Stand-in for the version of a process whose version isn't known yet.

Routers exchange and store it in place of a version. Those of older builds take
it for a version that no server has, and so refuse to go on with its streams.
"""

from __future__ import annotations

import re

from jasminetally._placing import process_versions
from jasminetally._placing import server_process

_LABEL = re.compile(r"process (\S+) started (\d+)")


def encode(process: server_process.ServerProcess) -> str:
    """Return the label of a process."""
    return f"process {process.server_id} started {process.started_ms}"


def unknown(server_id: str) -> str:
    """Return the label of a process that isn't known; no process has it.

    Args:
        server_id: Id of the server.
    """
    return encode(server_process.ServerProcess(server_id, 0))


def is_unknown(version: str | None) -> bool:
    """Return whether a version is a label that ``unknown`` returns."""
    process = decode(version)
    return process is not None and not process.started_ms


def may_be_replaced(known: str, version: str) -> bool:
    """Return whether a version says more than what is known of a stream.

    Args:
        known: Version or label that is known.
        version: Version or label that is told.
    """
    return known != version and is_unknown(known)


def resolve(version: str, versions: process_versions.ProcessVersions) -> str:
    """Return the version that a label stands for, if an entry has named it.

    Args:
        version: Version or label; a version is returned as it is.
        versions: Versions of the servers' processes.
    """
    process = decode(version)
    if process is None:
        return version
    return versions.get(process) or version


def decode(version: str | None) -> server_process.ServerProcess | None:
    """Return the process that a label stands for; None for a version.

    Args:
        version: Version of a server's software or a label; None for neither.
    """
    found = _LABEL.fullmatch(version or "")
    if found is None:
        return None
    return server_process.ServerProcess(found[1], int(found[2]))
