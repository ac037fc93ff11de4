"""Start of the router as a process of its own."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
from typing import IO

ROOT = pathlib.Path(__file__).parents[2]


def write_settings(
    path: pathlib.Path,
    *,
    node: str,
    ip: str,
    ports: tuple[int, int, int, int],
    store: str,
    extra: str = "",
) -> None:
    """Write a settings file as the users' platform does.

    Args:
        path: The file.
        node: Name of the instance.
        ip: Its address.
        ports: For callers, readiness, the directory and other routers.
        store: Address of the store.
        extra: More lines.
    """
    front, readiness, directory, internal = ports
    path.write_text(
        f"node: {node}\nzone: hall\nip: {ip}\n"
        f"listen: {{front: '{ip}:{front}',"
        f" readiness: '{ip}:{readiness}',"
        f" directory: '{ip}:{directory}'}}\n"
        f"internal_ports: [{internal}, {internal}]\n"
        f"platform: {{address: '{store}'}}\n"
        f"{extra}"
    )


def start(path: pathlib.Path, output: int | IO[bytes]) -> subprocess.Popen:
    """Start a router with a settings file; its output goes to ``output``."""
    return subprocess.Popen(
        [sys.executable, "platform/main.py"],
        cwd=ROOT,
        env={
            **os.environ,
            "JASMINETALLY_NODE_FILE": str(path),
            "PYTHONPATH": os.pathsep.join(sys.path),
        },
        stdout=output,
        stderr=None if output == subprocess.DEVNULL else output,
    )
