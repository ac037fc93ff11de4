"""Union of the effects that a budget manager returns."""

from __future__ import annotations

from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._budget import key_effects
from jasminetally._budget import platform_effects
from jasminetally._budget import transfer_effects

Effect = (
    platform_effects.ReadRecord
    | platform_effects.WriteRecord
    | admission_effects.Admit
    | admission_effects.Refuse
    | admission_effects.Settled
    | key_effects.AlreadyCompleted
    | key_effects.AlreadyClaimed
    | key_effects.FingerprintMismatch
    | claim_effects.ClaimDecided
    | transfer_effects.AskTransfer
    | transfer_effects.AppendJournal
    | transfer_effects.SendTransfer
)
