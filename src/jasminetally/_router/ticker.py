"""Periodic messages to actors."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import pykka


class Ticker:
    """Send each actor a message at its own interval.

    A tick is dropped while the inbox of the actor is not empty, so that ticks
    do not pile up at an actor that is behind.

    Args:
        ticks: Actor, message and interval in seconds of each tick.
    """

    def __init__(
        self, ticks: tuple[tuple[pykka.ActorRef, Any, float], ...]
    ) -> None:
        self._ticks = ticks
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="ticker", daemon=True
        )

    def start(self) -> None:
        """Start the thread that sends the ticks."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def _run(self) -> None:
        due = [0.0] * len(self._ticks)
        while not self._stopped.wait(min(tick[2] for tick in self._ticks)):
            now_s = time.monotonic()
            for index, (ref, message, interval_s) in enumerate(self._ticks):
                if now_s < due[index] or not ref.is_alive():
                    continue
                due[index] = now_s + interval_s
                if ref.actor_inbox.empty():
                    ref.tell(message)
