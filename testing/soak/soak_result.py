"""What was seen in one soak."""

from __future__ import annotations

import collections
from typing import NamedTuple

from testing.soak import fault as fault_lib


class SoakResult(NamedTuple):
    """What was seen in one soak.

    Attributes:
        seed: Seed of its plan.
        plan: Faults that were played.
        outcomes: Answers by status; 0 for a connection that broke.
        violations: Broken promises, in words.
        folder: Folder of the routers' logs.
    """

    seed: int
    plan: list[fault_lib.Fault]
    outcomes: collections.Counter[int]
    violations: list[str]
    folder: str = ""

    def describe(self) -> str:
        """Return lines for a report; the plan only if something broke."""
        line = f"seed {self.seed}: {dict(sorted(self.outcomes.items()))}"
        if not self.violations:
            return f"{line} ok"
        lines = [f"{line} BROKEN, logs in {self.folder}"]
        lines += [f"  {text}" for text in self.violations[:20]]
        lines += [
            f"  {found.at_s:.2f} s {found.kind} {found.how}"
            f" {found.targets} for {found.for_s:.2f} s"
            for found in self.plan
        ]
        return "\n".join(lines)
