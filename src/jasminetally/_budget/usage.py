"""Token usage of a finished run."""

from __future__ import annotations

from typing import NamedTuple


class Usage(NamedTuple):
    """Tokens that a run used.

    Attributes:
        tokens: Tokens reported by the engine, or the bound if unknown.
        billed: Whether to bill the tokens; False if the caller did not get the
            answer. A claimed request is then marked as unknown and never runs
            again.
    """

    tokens: int
    billed: bool = True
