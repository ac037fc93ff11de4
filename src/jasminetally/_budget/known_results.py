"""Results of a platform write that are known."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect; the object has this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The object has another version; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotApplied:
    """Platform down or rate limited; nothing was written.

    Claims are refused unless ``retry_after_s`` is short.
    """

    retry_after_s: float = 1.0
