"""Measurement of a control load in a child process."""

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

# Virtual seconds before counting starts, so that initial reads are not counted.
WARM_UP_S = 5


def measure_load(
    build: Callable[[], control_load.ControlLoad], seconds: int
) -> dict[str, float]:
    """Measure a load in a child process.

    A process does not return all freed memory to the system, so the memory of
    a load can only be measured in a new process.

    Args:
        build: Builds the load.
        seconds: Virtual seconds that are measured.

    Returns:
        Processor seconds, messages, bytes, reads and writes in each virtual
        second, and ``load_bytes``, the resident bytes that the load adds.
    """
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        status = 1
        try:
            os.close(reader)
            figures = _run_load(build, seconds)
            os.write(writer, msgspec.json.encode(figures))
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
    """Return the resident bytes of a new interpreter after an import.

    Args:
        module: Module to import; empty for the interpreter alone.
    """
    lines = (
        f"import {module}" if module else "",
        "import os",
        "pages = int(open('/proc/self/statm').read().split()[1])",
        "print(pages * os.sysconf('SC_PAGE_SIZE'))",
    )
    completed = subprocess.run(
        [sys.executable, "-c", "\n".join(lines)],
        check=True,
        capture_output=True,
        text=True,
    )
    return int(completed.stdout)


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
