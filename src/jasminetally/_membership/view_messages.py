"""Events and effects of the instance view."""

from __future__ import annotations

from jasminetally._membership import death_effects
from jasminetally._membership import list_events
from jasminetally._membership import probe_events
from jasminetally._membership import status_events
from jasminetally._membership import view_effects

Event = (
    list_events.ListRead
    | list_events.ListEntryChanged
    | list_events.ListUnchanged
    | status_events.StatusesRead
    | status_events.StatusReceived
    | status_events.StatusDeleted
    | probe_events.PeerMessageReceived
    | probe_events.ProbeFailed
    | probe_events.EvidenceReceived
)
Effect = (
    view_effects.ReadMembers
    | view_effects.ProbePeer
    | death_effects.AcknowledgeDeath
    | death_effects.StopSuperseded
    | death_effects.InstanceLeaving
)
