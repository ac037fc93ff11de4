"""Union of all events that the dispatcher processes."""

from __future__ import annotations

from jasminetally._routing import attempt_events
from jasminetally._routing import claim_events
from jasminetally._routing import membership_events
from jasminetally._routing import report_events
from jasminetally._routing import request_events
from jasminetally._routing import server_events
from jasminetally._routing import suspect_events

RequestSubmitted = request_events.RequestSubmitted
CallerDisconnected = request_events.CallerDisconnected
Tick = request_events.Tick
AttemptAcknowledged = attempt_events.AttemptAcknowledged
ChunkReceived = attempt_events.ChunkReceived
AttemptFailed = attempt_events.AttemptFailed
ServerListed = server_events.ServerListed
ServerDraining = server_events.ServerDraining
ServerUnlisted = server_events.ServerUnlisted
RouterCountChanged = membership_events.RouterCountChanged
LoadReport = report_events.LoadReport
CacheEvent = report_events.CacheEvent
ServerClaimed = claim_events.ServerClaimed
ClaimFailed = claim_events.ClaimFailed
ClaimExists = claim_events.ClaimExists
SuspicionsReceived = suspect_events.SuspicionsReceived
BroadcastFinished = suspect_events.BroadcastFinished

Event = (
    RequestSubmitted
    | CallerDisconnected
    | Tick
    | AttemptAcknowledged
    | ChunkReceived
    | AttemptFailed
    | ServerListed
    | ServerDraining
    | ServerUnlisted
    | RouterCountChanged
    | LoadReport
    | CacheEvent
    | ServerClaimed
    | ClaimFailed
    | ClaimExists
    | SuspicionsReceived
    | BroadcastFinished
)
