"""Measurement of a control load in a process of its own."""

from __future__ import annotations

import dataclasses
import gc
import os
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import msgspec

from jasminetally._bench import control_tally

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import control_load

# Virtual seconds before counting starts, so that first reads are not counted.
WARM_UP_S = 5


def measure_load(
    build: Callable[[], control_load.ControlLoad], seconds: int
) -> dict[str, float]:
    """Run a load in a child process.

    A process doesn't return all memory that it has freed, so that only a new
    one shows what a load needs.

    Args:
        build: Builds the load.
        seconds: Virtual seconds that are counted.

    Returns:
        Processor seconds, messages, bytes, reads and writes for each virtual
        second; ``load_bytes`` are resident bytes above idle.
    """
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        status = 1
        try:
            os.close(reader)
            found = _run_load(build, seconds)
            os.write(writer, msgspec.json.encode(found))
            status = 0
        finally:
            os._exit(status)
    os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        content = pipe.read()
    os.waitpid(child, 0)
    return msgspec.json.decode(content, type=dict[str, float])


def _run_load(
    build: Callable[[], control_load.ControlLoad], seconds: int
) -> dict[str, float]:
    gc.collect()
    idle_bytes = _resident_bytes()
    load = build()
    for second in range(WARM_UP_S):
        load.step(float(second), control_tally.ControlTally())
    tally = control_tally.ControlTally()
    start_s = time.process_time()
    for second in range(WARM_UP_S, WARM_UP_S + seconds):
        load.step(float(second), tally)
    used_s = time.process_time() - start_s
    gc.collect()
    figures = {
        name: value / seconds
        for name, value in dataclasses.asdict(tally).items()
    }
    figures["waiting_watches"] = float(tally.waiting_watches)
    return {
        "cpu_s": used_s / seconds,
        **figures,
        "load_bytes": float(_resident_bytes() - idle_bytes),
    }


def measure_import_bytes(module: str) -> int:
    """Return the resident bytes of a new interpreter with a module loaded.

    Args:
        module: Module to import; empty for the interpreter alone.
    """
    lines = (
        f"import {module}" if module else "",
        "import os",
        "pages = int(open('/proc/self/statm').read().split()[1])",
        "print(pages * os.sysconf('SC_PAGE_SIZE'))",
    )
    found = subprocess.run(
        [sys.executable, "-c", "\n".join(lines)],
        check=True,
        capture_output=True,
        text=True,
    )
    return int(found.stdout)


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
