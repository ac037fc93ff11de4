"""Entry of one budget in an account record."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._ledger import grant_entry


class BudgetEntry(NamedTuple):
    """Balance of one budget; every count is in tokens.

    Attributes:
        credited: Top-up id -> tokens paid in; an id is credited once.
        settled: Tokens billed to the client account.
        unbilled: Tokens that ran, or may have run, and are not billed.
        free: Tokens that are neither settled, unbilled nor granted.
        grants: Grant id -> grant.
    """

    credited: dict[str, int] = {}
    settled: int = 0
    unbilled: int = 0
    free: int = 0
    grants: dict[str, grant_entry.GrantEntry] = {}
