"""What the instance view knows of one other router."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import evidence
from jasminetally._membership import router_state
from jasminetally._membership import router_status


@dataclasses.dataclass
class Member:
    """What the instance view knows of one other router.

    Attributes:
        status: Newest status object of the newest incarnation.
        state: State by the status object or by a message, the later of both.
        last_message_s: When the incarnation was last heard; None if never.
        first_failed_s: First failed probe since then; None if none failed.
        last_failed_s: Last failed probe since then.
        failed_probes: Number of failed probes since then.
    """

    status: router_status.RouterStatus
    state: router_state.RouterState
    last_message_s: float | None = None
    first_failed_s: float | None = None
    last_failed_s: float | None = None
    failed_probes: int = 0

    def record_message(
        self, state: router_state.RouterState, now_s: float
    ) -> None:
        """Note that the incarnation was heard."""
        if self.state is not router_state.RouterState.DRAINING:
            self.state = state
        self.last_message_s = now_s
        self.first_failed_s = self.last_failed_s = None
        self.failed_probes = 0

    def record_probe_failure(self, now_s: float) -> None:
        """Note that a probe failed."""
        if self.first_failed_s is None:
            self.first_failed_s = now_s
        self.last_failed_s = now_s
        self.failed_probes += 1

    @property
    def unreachable_s(self) -> float:
        """Seconds between the first and the last failed probe."""
        if self.first_failed_s is None or self.last_failed_s is None:
            return 0.0
        return self.last_failed_s - self.first_failed_s

    def make_evidence(self, unlisted_s: float) -> evidence.Evidence:
        """Return what speaks for the death of the incarnation.

        Args:
            unlisted_s: Seconds over which the list did not name the instance.
        """
        return evidence.Evidence(
            self.status.incarnation,
            unlisted_s,
            self.unreachable_s,
            self.failed_probes,
        )
