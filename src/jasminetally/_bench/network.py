"""Delay, loss and partitions between simulated instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from jasminetally._bench import event_queue
    from jasminetally._bench import fault_plan
    from jasminetally._bench import host


class Network:
    """Carry messages between hosts.

    Attributes:
        messages: Number of peer messages sent.
        payload_bytes: Bytes of the messages whose size the sender gave.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        plan: fault_plan.FaultPlan,
        rng: random.Random,
        *,
        delay_s: float,
    ) -> None:
        self.messages = 0
        self.payload_bytes = 0
        self._queue = queue
        self._plan = plan
        self._rng = rng
        self._delay_s = delay_s

    def are_connected(self, first: host.Host, second: host.Host) -> bool:
        """Return whether two hosts can reach each other now."""
        return not any(
            (first.data_centre in window.targets)
            != (second.data_centre in window.targets)
            for window in self._plan.partitions
            if window.covers(self._queue.now_s)
        )

    def reaches_platform(self, caller: host.Host) -> bool:
        """Return whether a host can reach the platform now."""
        return not any(
            caller.data_centre in window.targets
            for window in self._plan.partitions + self._plan.platform_cuts
            if window.covers(self._queue.now_s)
        )

    def send(
        self,
        sender: host.Host,
        receiver: host.Host,
        callback: Callable,
        *args: object,
        size_bytes: int = 0,
    ) -> None:
        """Carry one message; it may be lost without notice."""
        self.messages += 1
        self.payload_bytes += size_bytes
        lost = self._rng.random() < self._plan.message_loss_share
        if lost or not self.are_connected(sender, receiver):
            return
        delay_s = self._delay_s * self._rng.uniform(1.0, 1.5)
        self._queue.call_after(
            delay_s, self._deliver, sender, receiver, callback, args
        )

    def _deliver(
        self,
        sender: host.Host,
        receiver: host.Host,
        callback: Callable,
        args: tuple,
    ) -> None:
        if self.are_connected(sender, receiver):
            receiver.deliver(callback, *args)
