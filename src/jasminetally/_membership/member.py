"""State of one other router in the instance view."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import evidence
from jasminetally._membership import router_state
from jasminetally._membership import router_status


@dataclasses.dataclass
class Member:
    """State of one other router in the instance view.

    Attributes:
        status: Latest status object of the newest incarnation.
        state: Most advanced state from its status object or its messages,
            which may arrive out of order.
        last_message_s: Monotonic time of its last message or probe reply; None
            if none was received.
        first_failed_s: Time of the first failed probe since its last message;
            None if none failed.
        last_failed_s: Time of the last failed probe since its last message;
            None if none failed.
        failed_probes: Number of failed probes since its last message.
    """

    status: router_status.RouterStatus
    state: router_state.RouterState
    last_message_s: float | None = None
    first_failed_s: float | None = None
    last_failed_s: float | None = None
    failed_probes: int = 0

    def advance_state(self, state: router_state.RouterState) -> None:
        """Set a reported state unless it precedes the known one."""
        if state.follows(self.state):
            self.state = state

    def record_message(
        self, state: router_state.RouterState, now_s: float
    ) -> None:
        """Record a message or a probe reply of the incarnation."""
        self.advance_state(state)
        self.last_message_s = now_s
        self.first_failed_s = self.last_failed_s = None
        self.failed_probes = 0

    def record_probe_failure(self, now_s: float) -> None:
        """Record a failed probe."""
        if self.first_failed_s is None:
            self.first_failed_s = now_s
        self.last_failed_s = now_s
        self.failed_probes += 1

    @property
    def unreachable_s(self) -> float:
        """Seconds between the first and last failed probe; 0 if none failed."""
        if self.first_failed_s is None or self.last_failed_s is None:
            return 0.0
        return self.last_failed_s - self.first_failed_s

    def make_evidence(self, unlisted_s: float) -> evidence.Evidence:
        """Return the evidence that the incarnation is dead.

        Args:
            unlisted_s: Seconds for which the instance has not been listed.
        """
        return evidence.Evidence(
            self.status.incarnation,
            unlisted_s,
            self.unreachable_s,
            self.failed_probes,
        )
