"""Union type of the operations on an account record."""

from __future__ import annotations

from jasminetally._ledger import claim_operations
from jasminetally._ledger import cleanup_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import settlement_operations

Operation = (
    grant_operations.CreditTopUp
    | grant_operations.AddGrant
    | grant_operations.ReturnTokens
    | settlement_operations.SettleUsage
    | settlement_operations.ConvertTransfer
    | claim_operations.Claim
    | claim_operations.ReleaseClaim
    | claim_operations.MarkClaimUnknown
    | recovery_operations.ReclaimGrant
    | cleanup_operations.PruneEntries
    | cleanup_operations.RemoveWriter
)
