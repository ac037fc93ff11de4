"""Result of the soak of one seed."""

from __future__ import annotations

import collections
from typing import NamedTuple

from testing.soak import fault as fault_lib


class SoakResult(NamedTuple):
    """Result of the soak of one seed.

    Attributes:
        seed: Seed of the soak.
        plan: Faults that were injected.
        outcomes: Number of requests by status; 0 stands for requests whose
            connection ended without a complete answer.
        violations: Descriptions of violated guarantees.
        chances: How often each rule could have been found broken.
        excuses: How often it was excused, by rule and kind of fault.
        folder: Folder with the logs of the routers.
    """

    seed: int
    plan: list[fault_lib.Fault]
    outcomes: collections.Counter[int]
    violations: list[str]
    chances: collections.Counter
    excuses: collections.Counter
    folder: str = ""

    def describe(self) -> str:
        """Return a report of one line, or with details if there are violations.

        The details are the first 20 violations and the plan.
        """
        line = f"seed {self.seed}: {dict(sorted(self.outcomes.items()))}"
        if not self.violations:
            return f"{line} ok"
        lines = [f"{line} BROKEN, logs in {self.folder}"]
        lines += [f"  {text}" for text in self.violations[:20]]
        lines += [
            f"  {fault.start_s:.2f} s {fault.kind} {fault.variant}"
            f" {fault.targets} for {fault.duration_s:.2f} s"
            for fault in self.plan
        ]
        return "\n".join(lines)
