"""Entry for one applied revision in the history of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class AppliedRevision(NamedTuple):
    """Revision that a run of ``apply`` has written to ``config/current``.

    Attributes:
        revision: Revision that was written.
        operation: Unique identifier of the run of ``apply``.
        applied_by: Operator or pipeline that ran it.
    """

    revision: int
    operation: str
    applied_by: str
