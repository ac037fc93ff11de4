"""Note of one write of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class AppliedRevision(NamedTuple):
    """Note of one write of the configuration.

    Attributes:
        revision: Revision that was written.
        operation: Identifier of the run of ``apply``.
        applied_by: Who ran it.
    """

    revision: int
    operation: str
    applied_by: str
