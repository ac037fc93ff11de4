"""Parts of a router that requests use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    import pykka

    from jasminetally._observe import histograms
    from jasminetally._observe import statsd_metrics
    from jasminetally._router import answer_cache
    from jasminetally._router import answer_store
    from jasminetally._router import backend_client
    from jasminetally._router import fleet_state
    from jasminetally._router import peer_client
    from jasminetally._router import stream_relay


class RouterComponents(NamedTuple):
    """Parts of a router that requests use.

    Attributes:
        fleet: Shared state.
        budget: Actor of the budgets.
        dispatch: Actor of the dispatcher.
        journal: Actor of the journal.
        relay: Relay of answer streams.
        backends: Connections to backend servers.
        peers: Messages to other routers.
        answers: Recent answers by key.
        store: Answers that outlive the router.
        histograms: Times and token counts.
        metrics: Counters.
    """

    fleet: fleet_state.FleetState
    budget: pykka.ActorRef
    dispatch: pykka.ActorRef
    journal: pykka.ActorRef
    relay: stream_relay.StreamRelay
    backends: backend_client.BackendClient
    peers: peer_client.PeerClient
    answers: answer_cache.AnswerCache
    store: answer_store.AnswerStore
    histograms: histograms.Histograms
    metrics: statsd_metrics.StatsdMetrics
