"""Union of all effects that the dispatcher returns."""

from __future__ import annotations

from jasminetally._routing import answer_effects
from jasminetally._routing import attempt_effects
from jasminetally._routing import claim_effects
from jasminetally._routing import connection_effects
from jasminetally._routing import suspect_effects

StartAttempt = attempt_effects.StartAttempt
ResumeAttempt = attempt_effects.ResumeAttempt
CancelAttempt = attempt_effects.CancelAttempt
DeliverChunk = answer_effects.DeliverChunk
CompleteRequest = answer_effects.CompleteRequest
RefuseRequest = answer_effects.RefuseRequest
CloseConnection = connection_effects.CloseConnection
CloseIdleConnections = connection_effects.CloseIdleConnections
ClaimServer = claim_effects.ClaimServer
ReleaseClaim = claim_effects.ReleaseClaim
BroadcastSuspicions = suspect_effects.BroadcastSuspicions

Effect = (
    StartAttempt
    | ResumeAttempt
    | CancelAttempt
    | DeliverChunk
    | CompleteRequest
    | RefuseRequest
    | CloseConnection
    | CloseIdleConnections
    | ClaimServer
    | ReleaseClaim
    | BroadcastSuspicions
)
