"""Evidence of other routers that incarnations are dead."""

from __future__ import annotations

from jasminetally._membership import evidence as evidence_module
from jasminetally._membership import view_policy


class PeerEvidence:
    """Keeps the sufficient evidence that other routers reported last.

    A death is confirmed by the evidence of two routers (rule E2 in section 4.5
    of docs/design.md), because one router alone may be cut off from an
    instance that all others reach.
    """

    def __init__(self, policy: view_policy.ViewPolicy) -> None:
        self._policy = policy
        self._received_s: dict[str, dict[str, float]] = {}

    def record(
        self, reporter: str, evidence: evidence_module.Evidence, now_s: float
    ) -> None:
        """Record evidence that another router reported.

        Insufficient evidence withdraws what the router reported before.

        Args:
            reporter: Instance of the other router.
            evidence: Observations of the other router.
            now_s: Monotonic time in seconds.
        """
        received_s = self._received_s.setdefault(evidence.incarnation, {})
        if self.is_sufficient(evidence):
            received_s[reporter] = now_s
        else:
            received_s.pop(reporter, None)
        if not received_s:
            del self._received_s[evidence.incarnation]

    def find_reporter(self, incarnation: str, now_s: float) -> str | None:
        """Return a router with sufficient, recent evidence of a death.

        Args:
            incarnation: Incarnation that may be dead.
            now_s: Monotonic time in seconds.

        Returns:
            Instance of the router; None if there is none.
        """
        oldest_s = now_s - self._policy.evidence_max_age_s
        received_s = {
            reporter: at_s
            for reporter, at_s in self._received_s.get(incarnation, {}).items()
            if at_s >= oldest_s
        }
        if not received_s:
            self._received_s.pop(incarnation, None)
            return None
        self._received_s[incarnation] = received_s
        return min(received_s)

    def is_sufficient(self, evidence: evidence_module.Evidence) -> bool:
        """Return whether evidence counts towards confirming a death."""
        return (
            evidence.unlisted_s >= self._policy.dead_after_s
            and evidence.unreachable_s >= self._policy.dead_after_s
            and evidence.failed_probes >= self._policy.min_failed_probes
        )
