"""Start of a router process with a settings file of the users' platform."""

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
    store_address: str,
    extra_yaml: str = "",
) -> None:
    """Write a settings file in the form that the users' platform provides.

    Args:
        path: Path of the file.
        node: Name of the instance.
        ip: IP address of the instance.
        ports: Ports that listen for callers' requests, readiness checks,
            requests for router addresses, and messages of other routers.
        store_address: ``ip:port`` of the store.
        extra_yaml: Lines to append to the file.
    """
    front, readiness, directory, internal = ports
    path.write_text(
        f"node: {node}\nzone: hall\nip: {ip}\n"
        f"listen: {{front: '{ip}:{front}',"
        f" readiness: '{ip}:{readiness}',"
        f" directory: '{ip}:{directory}'}}\n"
        f"internal_ports: [{internal}, {internal}]\n"
        f"platform: {{address: '{store_address}'}}\n"
        f"{extra_yaml}"
    )


def start_router(
    settings_path: pathlib.Path,
    output: int | IO[bytes],
    *,
    program: tuple[str, ...] = ("platform/main.py",),
    checkout: pathlib.Path = ROOT,
) -> subprocess.Popen:
    """Start a router process.

    Args:
        settings_path: Path of the settings file.
        output: Where standard output goes, as for ``subprocess.Popen``.
            Standard error goes there too, but is inherited if ``output`` is
            ``DEVNULL``.
        program: Arguments of the interpreter.
        checkout: Root of the build that is to run.

    Returns:
        The running process.
    """
    return subprocess.Popen(
        [sys.executable, *program],
        cwd=checkout,
        env={
            **os.environ,
            "JASMINETALLY_NODE_FILE": str(settings_path),
            "PYTHONPATH": os.pathsep.join(sys.path),
        },
        stdout=output,
        stderr=None if output == subprocess.DEVNULL else output,
    )
