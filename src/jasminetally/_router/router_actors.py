"""Actors of a router, each of which runs one state machine."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally._budget import grant_policy
from jasminetally._orders import order_actor
from jasminetally._orders import order_messages
from jasminetally._router import budget_actor
from jasminetally._router import budget_io
from jasminetally._router import budget_messages
from jasminetally._router import control_actor
from jasminetally._router import control_io
from jasminetally._router import control_messages
from jasminetally._router import dispatch_actor
from jasminetally._router import dispatch_io
from jasminetally._router import journal_actor
from jasminetally._router import journal_messages
from jasminetally._router import load_poller
from jasminetally._router import recovery_actor
from jasminetally._router import recovery_io
from jasminetally._router import recovery_messages
from jasminetally._router import router_hooks
from jasminetally._router import suspicion_store
from jasminetally._router import ticker
from jasminetally._routing import events
from jasminetally._routing import routing_policy

if TYPE_CHECKING:
    from collections.abc import Callable
    import concurrent.futures

    import pykka

    from jasminetally._membership import router_status
    from jasminetally._platform import port
    from jasminetally._router import answer_store
    from jasminetally._router import backend_client
    from jasminetally._router import fleet_state
    from jasminetally._router import journal_replicas
    from jasminetally._router import peer_client
    from jasminetally._router import peer_handler
    from jasminetally._router import status_writer
    from jasminetally._router import stream_relay
    from jasminetally._router import transfer_journal

BUDGET_TICK_S = 0.02
JOURNAL_TICK_S = 0.02
DISPATCH_TICK_S = 0.05
CONTROL_TICK_S = 0.1
RECOVERY_TICK_S = 1.0
ORDER_TICK_S = 0.5
# A router without peers ends an answer when its settlement is durable, and a
# retry at another router finds an answer only then. The write limiter bounds
# the number of writes; under load several settlements share one write.
FLUSH_INTERVAL_S = 0.02

# The relay reports progress every 0.25 s, and a process without processor time
# lags behind. With the default 0.3 s and 0.5 s of the policy, a burst of 370
# streams made a router take its own delay for silent servers and send most
# requests twice.
ACKNOWLEDGEMENT_TIMEOUT_S = 2.0
SUSPECT_IDLE_TIMEOUT_S = 1.0


class ActorDependencies(NamedTuple):
    """Components that the actors of a router use.

    Attributes:
        fleet: State shared by the threads of the router.
        platform: Platform.
        watches: Platform client whose connections are used for watches only.
        peers: Client for messages to other routers.
        handler: Handler of the messages of other routers.
        relay: Relay of answer streams.
        backends: Client for backend servers.
        store: Answers and account records on the platform.
        status: Writer of the status object.
        journals: Journal replicas held for peers.
        transfers: Journal of the transfers to other routers.
        pool: Worker threads.
        watch_pool: Worker threads for watches.
    """

    fleet: fleet_state.FleetState
    platform: port.PlatformPort
    watches: port.PlatformPort
    peers: peer_client.PeerClient
    handler: peer_handler.PeerHandler
    relay: stream_relay.StreamRelay
    backends: backend_client.BackendClient
    store: answer_store.AnswerStore
    status: status_writer.StatusWriter
    journals: journal_replicas.JournalReplicas
    transfers: transfer_journal.TransferJournal
    pool: concurrent.futures.Executor
    watch_pool: concurrent.futures.Executor


class RouterActors:
    """Start and stop the actors of one router incarnation.

    Args:
        own: Status of this router, with its incarnation.
        deps: Components that the actors use.
        in_flight: Returns the number of requests in flight.
        on_exit: Ends the process with an exit code.

    Attributes:
        budget: Actor of the budget managers.
        journal: Actor of the journal writer.
        recovery: Actor of the recovery manager.
        orders: Actor of the orders to engines.
        dispatch: Actor of the dispatcher.
        control: Actor for configuration, membership and drain.
        hooks: Applies the decisions of the control actor to other components.
    """

    def __init__(
        self,
        own: router_status.RouterStatus,
        deps: ActorDependencies,
        *,
        in_flight: Callable[[], int],
        on_exit: Callable[[int], None],
    ) -> None:
        self.journal = journal_actor.JournalActor.start(
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            rng=random.Random(),
            peers=deps.peers,
            pool=deps.pool,
        )
        deps.transfers.attach(self.journal)
        self.budget = _start_budget(own.incarnation, deps, self.journal)
        self.dispatch = _start_dispatch(own.incarnation, deps)
        self.recovery = recovery_actor.RecoveryActor.start(
            incarnation=own.incarnation,
            io=recovery_io.RecoveryIo(
                platform=deps.platform,
                peers=deps.peers,
                backends=deps.backends,
                fleet=deps.fleet,
                handler=deps.handler,
                journals=deps.journals,
                pool=deps.pool,
            ),
        )
        self.orders = order_actor.OrderActor.start(
            incarnation=own.incarnation,
            platform=deps.platform,
            pool=deps.pool,
        )
        self.hooks = router_hooks.RouterHooks(
            fleet=deps.fleet,
            budget=self.budget,
            dispatch=self.dispatch,
            journal=self.journal,
            recovery=self.recovery,
            orders=self.orders,
            journals=deps.journals,
            status=deps.status,
            store=deps.store,
            in_flight=in_flight,
            on_exit=on_exit,
        )
        self.control = control_actor.ControlActor.start(
            own=own,
            rng=random.Random(),
            io=control_io.ControlIo(
                platform=deps.platform,
                watches=deps.watches,
                peers=deps.peers,
                fleet=deps.fleet,
                hooks=self.hooks,
                pool=deps.pool,
                watch_pool=deps.watch_pool,
            ),
        )
        deps.handler.attach_actors(
            control=self.control,
            budget=self.budget,
            dispatch=self.dispatch,
            recovery=self.recovery,
        )
        self._poller = load_poller.LoadPoller(
            fleet=deps.fleet,
            backends=deps.backends,
            dispatch=self.dispatch,
            hooks=self.hooks,
        )
        self._ticker = ticker.Ticker(
            (
                (self.budget, budget_messages.BudgetTick(), BUDGET_TICK_S),
                (self.journal, journal_messages.JournalTick(), JOURNAL_TICK_S),
                (self.dispatch, events.Tick(), DISPATCH_TICK_S),
                (
                    self.recovery,
                    recovery_messages.RecoveryTick(),
                    RECOVERY_TICK_S,
                ),
                (self.orders, order_messages.OrderTick(), ORDER_TICK_S),
                (self.control, control_messages.ControlTick(), CONTROL_TICK_S),
            )
        )

    def start(self) -> None:
        """Start the load poller and the ticks of the actors."""
        self._poller.start()
        self._ticker.start()

    def stop(self) -> None:
        """Stop all actors; messages in their inboxes are dropped."""
        self._ticker.stop()
        self._poller.stop()
        for ref in (
            self.control,
            self.dispatch,
            self.budget,
            self.journal,
            self.recovery,
            self.orders,
        ):
            ref.stop(block=False)


def _start_budget(
    incarnation: str, deps: ActorDependencies, journal: pykka.ActorRef
) -> pykka.ActorRef:
    return budget_actor.BudgetActor.start(
        incarnation=incarnation,
        policy=grant_policy.GrantPolicy(flush_interval_s=FLUSH_INTERVAL_S),
        rng=random.Random(),
        on_settled=lambda run: journal.tell(
            journal_messages.EntriesDurable((run,))
        ),
        io=budget_io.BudgetIo(
            platform=deps.platform,
            peers=deps.peers,
            pool=deps.pool,
            transfers=deps.transfers,
            reply_to_transfer=deps.handler.reply_to_transfer,
        ),
    )


def _start_dispatch(
    incarnation: str, deps: ActorDependencies
) -> pykka.ActorRef:
    suspicions = suspicion_store.SuspicionStore(deps.platform)
    ref = dispatch_actor.DispatchActor.start(
        policy=routing_policy.RoutingPolicy(
            router=incarnation,
            acknowledgement_timeout_s=ACKNOWLEDGEMENT_TIMEOUT_S,
            reduced_idle_timeout_s=SUSPECT_IDLE_TIMEOUT_S,
        ),
        rng=random.Random(),
        io=dispatch_io.DispatchIo(
            relay=deps.relay,
            backends=deps.backends,
            peers=deps.peers,
            fleet=deps.fleet,
            store=suspicions,
            pool=deps.pool,
        ),
    )
    ref.tell(events.SuspicionsReceived(suspicions.load()))
    return ref
