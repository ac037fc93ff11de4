"""Union type of the outcomes of operations on an account record."""

from __future__ import annotations

from jasminetally._ledger import claim_outcomes
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import settlement_outcomes

Outcome = (
    grant_outcomes.Granted
    | grant_outcomes.GrantClosed
    | grant_outcomes.Unchanged
    | settlement_outcomes.Billed
    | settlement_outcomes.Duplicate
    | claim_outcomes.Claimed
    | claim_outcomes.AlreadyClaimed
    | claim_outcomes.FingerprintMismatch
)
