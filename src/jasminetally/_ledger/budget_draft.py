"""Mutable copy of a budget while operations are applied to it."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._ledger import budget_entry
from jasminetally._ledger import grant_entry


class BudgetDraft:
    """Mutable copy of a budget entry, with the changes of its grants."""

    def __init__(self, entry: budget_entry.BudgetEntry) -> None:
        self.credited = entry.credited
        self.settled = entry.settled
        self.unbilled = entry.unbilled
        self.free = entry.free
        self.grants = dict(entry.grants)

    def build_entry(self) -> budget_entry.BudgetEntry:
        """Return the budget entry with the changes made so far."""
        return budget_entry.BudgetEntry(
            self.credited, self.settled, self.unbilled, self.free, self.grants
        )

    def find_open_grant(self, grant: str) -> grant_entry.GrantEntry | None:
        """Return a grant, or None if it does not exist or is closed."""
        entry = self.grants.get(grant)
        return None if entry is None or entry.closed else entry

    def remove_tokens(self, grant: str, tokens: int) -> None:
        """Remove tokens from a grant.

        Raises:
            InvariantError: The grant has fewer tokens, or the number is
                negative.
        """
        entry = self.grants[grant]
        if not 0 <= tokens <= entry.tokens:
            raise _errors.InvariantError(
                f"grant {grant!r} has {entry.tokens} tokens, but the operation "
                f"removes {tokens}"
            )
        self.grants[grant] = entry._replace(tokens=entry.tokens - tokens)

    def add_tokens(self, grant: str, holder: str, tokens: int) -> None:
        """Add tokens to a grant; create it if it does not exist."""
        entry = self.grants.get(grant)
        if entry is None:
            self.grants[grant] = grant_entry.GrantEntry(holder, tokens)
        else:
            self.grants[grant] = entry._replace(tokens=entry.tokens + tokens)
