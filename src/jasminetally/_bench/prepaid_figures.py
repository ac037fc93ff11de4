"""Figures of one run of the prepaid bench."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class PrepaidFigures:
    """Figures of one run, or sums of several.

    Attributes:
        requests: Requests that arrived.
        served: Requests that were accepted and not cut off.
        owed_refusals: Requests refused although 97 in 100 of what was paid
            for would have covered them.
        overspent: Tokens used beyond what was paid for.
        writes: Writes to the store.
    """

    requests: int = 0
    served: int = 0
    owed_refusals: int = 0
    overspent: int = 0
    writes: int = 0

    def add(self, other: PrepaidFigures) -> None:
        """Add another run."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    def export(self) -> dict[str, float]:
        """Return the figures, with owed refusals as a share in 100."""
        share = 100.0 * self.owed_refusals / max(1, self.requests)
        return {
            **dataclasses.asdict(self),
            "owed_refusals_percent": round(share, 2),
        }
