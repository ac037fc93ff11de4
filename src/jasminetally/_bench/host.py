"""Simulated router process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import event_queue


class Host:
    """One incarnation of a router process.

    All callbacks of the process run through ``deliver``, so a dead process
    runs none and a paused one runs them when it resumes.

    Attributes:
        instance: Name of the instance.
        incarnation: ``<instance>#<start number>``.
        data_centre: Data centre of the instance.
        alive: False once the process has died.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        *,
        instance: str,
        start_number: int,
        data_centre: str,
    ) -> None:
        self.instance = instance
        self.incarnation = f"{instance}#{start_number}"
        self.data_centre = data_centre
        self.alive = True
        self._queue = queue
        self._paused = False
        self._waiting: list[tuple[Callable, tuple]] = []

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self._queue.now_s

    def deliver(self, callback: Callable, *args: object) -> None:
        """Run a callback now, or after a pause; drop it if the process died."""
        if not self.alive:
            return
        if self._paused:
            self._waiting.append((callback, args))
            return
        callback(*args)

    def call_after(
        self, delay_s: float, callback: Callable, *args: object
    ) -> None:
        """Run a callback in the process after a delay in seconds."""
        self._queue.call_after(delay_s, self.deliver, callback, *args)

    def call_every(self, period_s: float, callback: Callable) -> None:
        """Run a callback in the process each period, in seconds."""

        def run() -> None:
            callback()
            self.call_after(period_s, run)

        self.call_after(period_s, run)

    def pause(self) -> None:
        """Pause the process; callbacks are kept until it resumes."""
        self._paused = True

    def resume(self) -> None:
        """Resume the process and run the callbacks kept during the pause."""
        self._paused = False
        waiting, self._waiting = self._waiting, []
        for callback, args in waiting:
            self.deliver(callback, *args)
