"""Evidence of other routers about silent incarnations."""

from __future__ import annotations

from jasminetally._membership import evidence as evidence_module
from jasminetally._membership import view_policy


class Witnesses:
    """Latest evidence of each other router.

    Evidence E2 takes two routers, because one router can be cut off from an
    instance that everybody else reaches.
    """

    def __init__(self, policy: view_policy.ViewPolicy) -> None:
        self._policy = policy
        self._heard: dict[str, dict[str, float]] = {}

    def hear(
        self, witness: str, evidence: evidence_module.Evidence, now_s: float
    ) -> None:
        """Keep evidence that is enough; drop earlier evidence otherwise."""
        heard = self._heard.setdefault(evidence.incarnation, {})
        if self.is_enough(evidence):
            heard[witness] = now_s
        else:
            heard.pop(witness, None)
        if not heard:
            del self._heard[evidence.incarnation]

    def second(self, incarnation: str, now_s: float) -> str | None:
        """Return a router whose evidence is enough and recent, or None."""
        limit_s = now_s - self._policy.witness_max_age_s
        heard = {
            witness: heard_s
            for witness, heard_s in self._heard.get(incarnation, {}).items()
            if heard_s >= limit_s
        }
        if not heard:
            self._heard.pop(incarnation, None)
            return None
        self._heard[incarnation] = heard
        return min(heard)

    def is_enough(self, evidence: evidence_module.Evidence) -> bool:
        """Return whether evidence of one router is half of a confirmation."""
        return (
            evidence.unlisted_s >= self._policy.dead_after_s
            and evidence.unreached_s >= self._policy.dead_after_s
            and evidence.probes >= self._policy.probes_for_death
        )
