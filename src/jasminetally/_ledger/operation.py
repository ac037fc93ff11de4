"""Union of the operations on an account record."""

from __future__ import annotations

from jasminetally._ledger import claim_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import upkeep_operations

Operation = (
    grant_operations.Credit
    | grant_operations.AddGrant
    | grant_operations.ReturnTokens
    | settlement_operations.Settle
    | settlement_operations.ConvertTransfer
    | claim_operations.Claim
    | claim_operations.ReleaseClaim
    | claim_operations.MarkUnknown
    | recovery_operations.Reclaim
    | upkeep_operations.Prune
    | upkeep_operations.Retire
)
