"""Ports on which the routers of a test process may listen.

A port that is only tried and released may be taken by another test process
before its router listens. So each process holds a lock on a block of ports, and
gives out only these.
"""

from __future__ import annotations

import contextlib
import fcntl
import itertools
import os
import pathlib
import socket
import tempfile

# The blocks lie below the system's range of ports for outgoing connections.
FIRST_PORT = 12_000
BLOCK_PORTS = 500
BLOCKS = 40
LOCK_FOLDER = pathlib.Path(tempfile.gettempdir()) / "jasminetally-test-ports"

_held_files = []
_ports = None


def free_port() -> int:
    """Return a free TCP port that no other test process gives out."""
    global _ports
    if _ports is None:
        _ports = itertools.cycle(_lock_block())
    for port in itertools.islice(_ports, BLOCK_PORTS):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise RuntimeError(f"all {BLOCK_PORTS} ports of this process are in use")


def own_loopback_address() -> str:
    """Return a loopback address that no other running process uses.

    Router processes listen on one fixed port, that of the metrics.
    """
    pid = os.getpid()
    return f"127.{100 + (pid >> 16) % 100}.{pid >> 8 & 255}.{pid & 255}"


def _lock_block() -> range:
    """Lock a block of ports until this process ends."""
    LOCK_FOLDER.mkdir(exist_ok=True)
    for block in range(BLOCKS):
        lock_file = (LOCK_FOLDER / str(block)).open("w")
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock_file.close()
            continue
        _held_files.append(lock_file)
        start = FIRST_PORT + block * BLOCK_PORTS
        return range(start, start + BLOCK_PORTS)
    raise RuntimeError(f"all {BLOCKS} blocks of ports are locked")
