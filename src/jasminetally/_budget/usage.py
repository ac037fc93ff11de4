"""Usage of a finished request."""

from __future__ import annotations

from typing import NamedTuple


class Usage(NamedTuple):
    """Tokens that ran.

    Attributes:
        tokens: Tokens reported by the engine, or the bound if not known.
        billed: False for a run whose answer was not given to the caller. A
            claimed request then stays unknown and never runs again.
    """

    tokens: int
    billed: bool = True
