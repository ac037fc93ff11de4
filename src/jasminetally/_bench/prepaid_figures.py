"""Figures of one run of the prepaid bench."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class PrepaidFigures:
    """Figures of one run, or the sums of several.

    Attributes:
        requests: Requests that arrived.
        served: Requests that were accepted and ran to their end.
        owed_refusals: Requests refused although 97% of the prepaid tokens
            covered them.
        overspent: Tokens used beyond the prepaid ones.
        writes: Writes to the store.
    """

    requests: int = 0
    served: int = 0
    owed_refusals: int = 0
    overspent: int = 0
    writes: int = 0

    def add(self, other: PrepaidFigures) -> None:
        """Add the figures of another run."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    def export(self) -> dict[str, float]:
        """Return the figures for JSON, with the percentage of owed refusals."""
        share = 100.0 * self.owed_refusals / max(1, self.requests)
        return {
            **dataclasses.asdict(self),
            "owed_refusals_percent": round(share, 2),
        }
