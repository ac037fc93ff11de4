"""All events of the dispatcher under one name."""

from __future__ import annotations

from jasminetally._routing import attempt_events
from jasminetally._routing import claim_events
from jasminetally._routing import membership_events
from jasminetally._routing import report_events
from jasminetally._routing import request_events
from jasminetally._routing import server_events
from jasminetally._routing import suspect_events

Submit = request_events.Submit
CallerGone = request_events.CallerGone
Tick = request_events.Tick
AttemptAccepted = attempt_events.AttemptAccepted
Chunk = attempt_events.Chunk
AttemptFailed = attempt_events.AttemptFailed
ServerSeen = server_events.ServerSeen
ServerLeaving = server_events.ServerLeaving
ServerGone = server_events.ServerGone
RoutersSeen = membership_events.RoutersSeen
LoadReport = report_events.LoadReport
CacheEvent = report_events.CacheEvent
ServerClaimed = claim_events.ServerClaimed
ClaimFailed = claim_events.ClaimFailed
ClaimExists = claim_events.ClaimExists
SuspectsHeard = suspect_events.SuspectsHeard
SuspectsShared = suspect_events.SuspectsShared

Event = (
    Submit
    | CallerGone
    | Tick
    | AttemptAccepted
    | Chunk
    | AttemptFailed
    | ServerSeen
    | ServerLeaving
    | ServerGone
    | RoutersSeen
    | LoadReport
    | CacheEvent
    | ServerClaimed
    | ClaimFailed
    | ClaimExists
    | SuspectsHeard
    | SuspectsShared
)
