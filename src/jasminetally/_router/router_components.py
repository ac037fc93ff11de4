"""Components of a router that serve requests."""

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
    """Components of a router that serve requests.

    Attributes:
        fleet: State shared by the threads of the router.
        budget: Actor of the budget managers.
        dispatch: Actor of the dispatcher.
        journal: Actor of the journal writer.
        relay: Relay of answer streams.
        backends: Client for backend servers.
        peers: Client for messages to other routers.
        answers: Cache of recent answers by idempotency key.
        store: Answers and account records on the platform.
        histograms: Times and token counts of requests.
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
