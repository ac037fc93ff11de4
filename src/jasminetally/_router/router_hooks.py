"""Application of configuration, membership and drain to a router."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally._budget import budget_terms
from jasminetally._membership import drain_effects
from jasminetally._membership import drain_events
from jasminetally._membership import incarnation as incarnations
from jasminetally._membership import router_state
from jasminetally._orders import order_messages
from jasminetally._recovery import journal_writer
from jasminetally._recovery import router_events
from jasminetally._router import budget_messages
from jasminetally._router import config_lookup
from jasminetally._router import journal_messages
from jasminetally._routing import events
from jasminetally._routing import server_info

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from jasminetally._config import backend_server
    from jasminetally._config import stored_config
    from jasminetally._router import answer_store
    from jasminetally._router import fleet_state
    from jasminetally._router import journal_replicas
    from jasminetally._router import status_writer

DRAIN_QUERY_TIMEOUT_S = 1.0


class RouterHooks:
    """Apply the decisions of the control actor to the other components.

    Args:
        fleet: State shared by the threads of the router.
        budget: Actor of the budget managers.
        dispatch: Actor of the dispatcher.
        journal: Actor of the journal writer.
        recovery: Actor of the recovery manager.
        orders: Actor of the orders to engines.
        journals: Journal replicas held for peers.
        status: Writer of the status object.
        store: Answers and account records on the platform.
        in_flight: Returns the number of requests in flight.
        on_exit: Ends the process with an exit code.
    """

    def __init__(
        self,
        *,
        fleet: fleet_state.FleetState,
        budget: pykka.ActorRef,
        dispatch: pykka.ActorRef,
        journal: pykka.ActorRef,
        recovery: pykka.ActorRef,
        orders: pykka.ActorRef,
        journals: journal_replicas.JournalReplicas,
        status: status_writer.StatusWriter,
        store: answer_store.AnswerStore,
        in_flight: Callable[[], int],
        on_exit: Callable[[int], None],
    ) -> None:
        self._fleet = fleet
        self._budget = budget
        self._dispatch = dispatch
        self._journal = journal
        self._recovery = recovery
        self._orders = orders
        self._journals = journals
        self._status = status
        self._store = store
        self._in_flight = in_flight
        self._on_exit = on_exit
        self._lock = threading.Lock()
        self._predecessors: tuple[str, ...] = ()
        self._listed_servers: dict[str, backend_server.BackendServer] = {}

    def put_in_force(
        self, stored: stored_config.StoredConfig, value: bytes
    ) -> None:
        """Put a configuration in force in all components."""
        self._fleet.config_lookup = config_lookup.ConfigLookup(stored.manifest)
        self._fleet.config_value = value
        self._fleet.revision = stored.revision
        self._orders.tell(order_messages.ConfigurationChanged(stored.manifest))
        self.fleet_size_changed()
        servers = stored.manifest.backend_servers
        with self._lock:
            unlisted = self._listed_servers.keys() - servers.keys()
            self._listed_servers = dict(servers)
        for name in unlisted:
            self._dispatch.tell(events.ServerUnlisted(name))
        for server in servers.values():
            self.list_server(server)
        self._status.update_status(revision=stored.revision)

    def list_server(self, server: backend_server.BackendServer) -> None:
        """Allow new requests to a backend server."""
        self._dispatch.tell(
            events.ServerListed(
                server_info.ServerInfo(
                    server.name,
                    server.kind,
                    server.model or server.service or "",
                    server.data_centre,
                    slots=server.slots,
                )
            )
        )

    def drain_server(self, server: str) -> None:
        """Send no new requests to a backend server."""
        if server in self._listed_servers:
            logger.info("route: backend server {} is draining", server)
            self._dispatch.tell(events.ServerDraining(server))

    def reachable_peers_changed(self, reachable: tuple[str, ...]) -> None:
        """Tell the budget and journal actors which peers respond."""
        self._budget.tell(budget_messages.ReachablePeersChanged(reachable))
        peers = self._fleet.peers
        self._journal.tell(
            journal_messages.ReplicaCandidatesChanged(
                {
                    peer: peers[peer].data_centre
                    for peer in reachable
                    if peer in peers
                }
            )
        )

    def ready_routers_changed(self, instances: frozenset[str]) -> None:
        """Tell the order actor which routers, possibly this one, are ready."""
        self._orders.tell(order_messages.ReadyRoutersChanged(instances))

    def fleet_size_changed(self) -> None:
        """Divide shared limits by the new number of routers."""
        routers = 1 + len(self._fleet.peers)
        self._store.set_router_count(routers)
        self._dispatch.tell(events.RouterCountChanged(routers))
        config = self._fleet.config_lookup
        if config is None:
            return
        accounts = {
            account.name: {
                budget.name: budget_terms.BudgetTerms(
                    {top_up.id: top_up.tokens for top_up in budget.top_ups}
                )
                for budget in account.budgets.values()
            }
            for account in config.manifest.client_accounts.values()
        }
        # With fewer peers than a journal needs, every run is paid from the
        # isolated share, which is the whole grant only for a single router.
        if routers <= journal_writer.JOURNAL_PEER_COUNT:
            routers = 1
        self._budget.tell(
            budget_messages.BudgetConfigChanged(accounts, routers)
        )

    def peer_died(self, incarnation: str, deaths: tuple[str, ...]) -> None:
        """Acknowledge a death and refuse further messages of the incarnation.

        Its journal is fenced before the status is written: an entry that
        arrived after the acknowledgement would be missing from the recovery.
        """
        self._journals.refuse_writer(incarnation)
        self._status.update_status(deaths=(*self._predecessors, *deaths))
        self._recovery.tell(router_events.DeathConfirmed(incarnation))
        self._budget.tell(budget_messages.PeerGone(incarnation))

    def recover_predecessors(self, deaths: tuple[str, ...]) -> None:
        """Start the recovery of earlier incarnations of this instance.

        The instance view does not report them, since it covers only other
        routers. A router without peers would otherwise find the grants of its
        predecessors locked without end.
        """
        self._predecessors = deaths
        for incarnation in deaths:
            self._journals.refuse_writer(incarnation)
            self._recovery.tell(router_events.DeathConfirmed(incarnation))

    def report_acknowledged_deaths(self, deaths: frozenset[str]) -> None:
        """Tell the recovery manager which routers acknowledge which deaths.

        Only deaths that this router has confirmed itself are included, since
        the recovery manager takes every death in the message as confirmed. An
        incarnation acknowledges the death of its predecessors by its start.
        """
        deaths = deaths | frozenset(self._predecessors)
        self._recovery.tell(
            router_events.RoutersSeen(
                {
                    status.incarnation: frozenset(
                        dead
                        for dead in deaths
                        if dead in status.deaths
                        or incarnations.is_newer(status.incarnation, dead)
                    )
                    for status in self._fleet.peers.values()
                }
            )
        )

    def publish_state(
        self, state: router_state.RouterState, *, ready: bool
    ) -> None:
        """Publish the state of this router and its readiness."""
        logger.info("membership: state of this router is {}", state.value)
        self._fleet.state = state.value
        if ready:
            self._fleet.serving.set()
        else:
            self._fleet.draining.set()
            self._fleet.serving.clear()
        self._status.update_status(state=state)

    def remaining_work(self) -> drain_events.RemainingWork:
        """Return the work that is left before this router may exit."""
        drained = self._budget.ask(
            budget_messages.DrainedQuery(), timeout=DRAIN_QUERY_TIMEOUT_S
        )
        unsettled = 0 if drained else 1
        return drain_events.RemainingWork(
            requests=self._in_flight(),
            settlements=unsettled,
            grants=unsettled,
            leases=self._orders.ask(
                order_messages.OrderTick(), timeout=DRAIN_QUERY_TIMEOUT_S
            ),
            status_exists=not self._status.deleted,
        )

    def perform_drain_step(self, step: drain_effects.DrainStep) -> None:
        """Perform one step of the drain."""
        match step:
            case (
                drain_effects.DrainStep.WRITE_SETTLEMENTS
                | drain_effects.DrainStep.RETURN_GRANTS
            ):
                self._budget.tell(budget_messages.DrainBudgets())
            case drain_effects.DrainStep.RELEASE_LEASES:
                self._orders.tell(order_messages.OrderTick(drain=True))
            case drain_effects.DrainStep.DELETE_STATUS:
                self._status.delete_status()

    def stop_superseded(self, reason: str) -> None:
        """Stop serving at once, since another process runs this instance."""
        logger.error("membership: superseded by another process: {}", reason)
        self._fleet.draining.set()
        self._fleet.serving.clear()
        self._on_exit(1)

    def exit_process(self, code: int) -> None:
        """End the process with an exit code."""
        self._on_exit(code)
