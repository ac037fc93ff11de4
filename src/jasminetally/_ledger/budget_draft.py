"""Mutable copy of a budget during a transition."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._ledger import budget_entry
from jasminetally._ledger import grant_entry


class BudgetDraft:
    """Working copy of a budget, with the token movements of the ledger."""

    def __init__(self, entry: budget_entry.BudgetEntry) -> None:
        self.credited = entry.credited
        self.settled = entry.settled
        self.unbilled = entry.unbilled
        self.free = entry.free
        self.grants = dict(entry.grants)

    def build_entry(self) -> budget_entry.BudgetEntry:
        """Return the budget as an entry."""
        return budget_entry.BudgetEntry(
            self.credited, self.settled, self.unbilled, self.free, self.grants
        )

    def find_open_grant(self, grant: str) -> grant_entry.GrantEntry | None:
        """Return a grant that its holder may use, or None."""
        entry = self.grants.get(grant)
        return None if entry is None or entry.closed else entry

    def remove_tokens(self, grant: str, tokens: int) -> None:
        """Remove tokens from a grant.

        Raises:
            InvariantError: The grant has fewer tokens.
        """
        entry = self.grants[grant]
        if not 0 <= tokens <= entry.tokens:
            raise _errors.InvariantError(
                f"grant {grant!r} has {entry.tokens} tokens, but {tokens} "
                "were to be taken from it"
            )
        self.grants[grant] = entry._replace(tokens=entry.tokens - tokens)

    def add_tokens(self, grant: str, holder: str, tokens: int) -> None:
        """Add tokens to a grant, which is created if it does not exist."""
        entry = self.grants.get(grant)
        if entry is None:
            self.grants[grant] = grant_entry.GrantEntry(holder, tokens)
        else:
            self.grants[grant] = entry._replace(tokens=entry.tokens + tokens)
