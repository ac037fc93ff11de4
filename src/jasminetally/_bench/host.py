"""Simulated instance that a router runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import event_queue


class Host:
    """One incarnation of a router's process.

    Everything that reaches the process passes through ``deliver``, so that a
    dead process does nothing and a paused one continues where it stopped.

    Attributes:
        instance: Name of the instance.
        incarnation: ``instance#start-number``.
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
        """Call back now, after the pause, or never if the process died."""
        if not self.alive:
            return
        if self._paused:
            self._waiting.append((callback, args))
            return
        callback(*args)

    def call_after(
        self, delay_s: float, callback: Callable, *args: object
    ) -> None:
        """Call back in the process after a delay in seconds."""
        self._queue.call_after(delay_s, self.deliver, callback, *args)

    def call_every(self, period_s: float, callback: Callable) -> None:
        """Call back in the process periodically."""

        def run() -> None:
            callback()
            self.call_after(period_s, run)

        self.call_after(period_s, run)

    def pause(self) -> None:
        """Stop the process without ending it."""
        self._paused = True

    def resume(self) -> None:
        """Continue with everything that arrived during the pause."""
        self._paused = False
        waiting, self._waiting = self._waiting, []
        for callback, args in waiting:
            self.deliver(callback, *args)
