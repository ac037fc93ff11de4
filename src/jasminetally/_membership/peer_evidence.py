"""Evidence of other routers about silent incarnations."""

from __future__ import annotations

from jasminetally._membership import evidence as evidence_module
from jasminetally._membership import view_policy


class PeerEvidence:
    """Latest evidence of each other router.

    Evidence E2 takes two routers, because one router can be cut off from an
    instance that everybody else reaches.
    """

    def __init__(self, policy: view_policy.ViewPolicy) -> None:
        self._policy = policy
        self._received_s: dict[str, dict[str, float]] = {}

    def record(
        self, reporter: str, evidence: evidence_module.Evidence, now_s: float
    ) -> None:
        """Keep evidence that is enough; drop earlier evidence otherwise."""
        heard = self._received_s.setdefault(evidence.incarnation, {})
        if self.is_sufficient(evidence):
            heard[reporter] = now_s
        else:
            heard.pop(reporter, None)
        if not heard:
            del self._received_s[evidence.incarnation]

    def find_reporter(self, incarnation: str, now_s: float) -> str | None:
        """Return a router whose evidence is enough and recent, or None."""
        limit_s = now_s - self._policy.evidence_max_age_s
        heard = {
            reporter: heard_s
            for reporter, heard_s in self._received_s.get(
                incarnation, {}
            ).items()
            if heard_s >= limit_s
        }
        if not heard:
            self._received_s.pop(incarnation, None)
            return None
        self._received_s[incarnation] = heard
        return min(heard)

    def is_sufficient(self, evidence: evidence_module.Evidence) -> bool:
        """Return whether evidence of one router is half of a confirmation."""
        return (
            evidence.unlisted_s >= self._policy.dead_after_s
            and evidence.unreachable_s >= self._policy.dead_after_s
            and evidence.failed_probes >= self._policy.min_failed_probes
        )
