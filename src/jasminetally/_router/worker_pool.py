"""Worker threads for effects."""

from __future__ import annotations

import concurrent.futures
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable


class WorkerPool(concurrent.futures.ThreadPoolExecutor):
    """Thread pool that logs exceptions.

    Most effects have no waiter, so an exception in the future would never be
    seen.
    """

    def submit(
        self, fn: Callable, /, *args: Any, **kwargs: Any
    ) -> concurrent.futures.Future:
        """Run a call in a worker thread."""
        return super().submit(_run_logged, fn, args, kwargs)


def _run_logged(fn: Callable, args: tuple, kwargs: dict[str, Any]) -> Any:
    try:
        return fn(*args, **kwargs)
    except Exception:
        logger.exception(
            "worker: {} failed with an unexpected error",
            getattr(fn, "__qualname__", fn),
        )
        raise
