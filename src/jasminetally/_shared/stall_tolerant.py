"""Timeouts that do not count the time for which the event loop stood still."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

T = TypeVar("T")

# Passes of the event loop after a timeout in which what has arrived meanwhile
# is processed. Opening a connection takes five.
GRACE_PASSES = 8


async def wait_for(coro: Coroutine[Any, Any, T], timeout_s: float) -> T:
    """Return the result of a coroutine, or cancel it after a time limit.

    When a process has been frozen, or had no processor time, its timers are due
    together with the data that arrived meanwhile, and ``asyncio.timeout`` would
    cancel what only needs to read them. Here, these data are processed first.

    Args:
        coro: The coroutine.
        timeout_s: Time limit in seconds.

    Raises:
        TimeoutError: The coroutine did not end in time.
    """
    task = asyncio.ensure_future(coro)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
        for _ in range(GRACE_PASSES):
            if task.done():
                break
            await asyncio.sleep(0)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()
