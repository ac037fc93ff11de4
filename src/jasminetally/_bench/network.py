"""Simulated network with delay, message loss and partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from jasminetally._bench import event_queue
    from jasminetally._bench import fault_plan
    from jasminetally._bench import host


class Network:
    """Delivers messages between hosts.

    Attributes:
        messages: Number of peer messages sent, including lost ones.
        payload_bytes: Total size of the messages whose sender gave a size.
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
        """Return whether no partition separates two hosts now."""
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
            for window in self._plan.partitions + self._plan.platform_partitions
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
        """Deliver a message after a delay; it may be lost.

        Args:
            sender: Host that sends it.
            receiver: Host in whose process the callback runs.
            callback: Called when the message arrives.
            *args: Arguments of the callback.
            size_bytes: Size of the message; 0 if it is not counted.
        """
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
