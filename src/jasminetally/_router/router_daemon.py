"""Router daemon."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._config import platform_events
from jasminetally._membership import drain_events
from jasminetally._membership import router_state
from jasminetally._membership import router_status
from jasminetally._membership import status_codec
from jasminetally._membership import status_events
from jasminetally._observe import histograms
from jasminetally._observe import statsd_metrics
from jasminetally._platform import http_client
from jasminetally._router import accepted_request
from jasminetally._router import answer_cache
from jasminetally._router import answer_store
from jasminetally._router import api
from jasminetally._router import backend_client
from jasminetally._router import dispatch_messages
from jasminetally._router import fleet_state
from jasminetally._router import http_frontend
from jasminetally._router import journal_replicas
from jasminetally._router import peer_client
from jasminetally._router import peer_handler
from jasminetally._router import router_actors
from jasminetally._router import router_components
from jasminetally._router import status_writer
from jasminetally._router import stream_relay
from jasminetally._router import transfer_journal
from jasminetally._router import worker_pool
from jasminetally._routing import events
from jasminetally._wire import peer_connection_pool
from jasminetally._wire import peer_server

if TYPE_CHECKING:
    from jasminetally._router import exchange
    from jasminetally._router import stream_progress
    from jasminetally._settings import router_settings

IO_THREADS = 24
# A watch on a connection that no longer responds occupies its thread until it
# times out, while the revision tracker starts another one.
WATCH_THREADS = 4
PLATFORM_CONNECTIONS = 16
STATUS_READ_RETRY_S = 0.5


class RouterDaemon:
    """One router: HTTP frontend, peer server, actors and relay in one process.

    Args:
        settings: Settings; port 0 in an address lets the system choose one.
    """

    def __init__(self, settings: router_settings.RouterSettings) -> None:
        self._settings = settings
        self._stopped = threading.Event()
        self._exit_code = 0
        self._fleet = fleet_state.FleetState(
            instance=settings.instance, data_centre=settings.data_centre
        )
        self._platform = http_client.HttpPlatform(
            settings.platform_address, connections=PLATFORM_CONNECTIONS
        )
        self._watches = http_client.HttpPlatform(
            settings.platform_address, connections=WATCH_THREADS
        )
        self._pool = worker_pool.WorkerPool(IO_THREADS, thread_name_prefix="io")
        self._watch_pool = worker_pool.WorkerPool(
            WATCH_THREADS, thread_name_prefix="watch"
        )
        self._peer_pool = peer_connection_pool.PeerConnectionPool()
        self._peers = peer_client.PeerClient(self._peer_pool, self._fleet)
        self._answers = answer_cache.AnswerCache()
        self._journals = journal_replicas.JournalReplicas()
        self._transfers = transfer_journal.TransferJournal()
        self._backends = backend_client.BackendClient()
        self._store = answer_store.AnswerStore(self._platform)
        self._relay = stream_relay.StreamRelay(self._on_progress)
        self._handler = peer_handler.PeerHandler(
            fleet=self._fleet,
            peers=self._peers,
            answers=self._answers,
            journals=self._journals,
            transfers=self._transfers,
        )
        self._peer_server = peer_server.PeerServer(
            self._handler, **_parse_address(settings.peer_address)
        )
        limits = settings.limits
        self._frontend = http_frontend.HttpFrontend(
            self._handle_exchange,
            **_parse_address(settings.http_address),
            in_flight_limit=limits.max_requests_in_flight,
            connection_limit=limits.max_connections,
            body_limit_bytes=limits.max_body_bytes,
            header_limit_bytes=limits.max_header_bytes,
        )
        self._api: api.Api | None = None

    @property
    def http_address(self) -> str:
        """Address for callers; known after ``bind``."""
        return self._frontend.address

    @property
    def peer_address(self) -> str:
        """Address for other routers."""
        return self._peer_server.address

    @property
    def serving(self) -> threading.Event:
        """Event that is set while callers are served."""
        return self._fleet.serving

    @property
    def reachable(self) -> tuple[str, ...]:
        """Incarnations of the other routers that respond."""
        return self._fleet.reachable

    def bind(self) -> None:
        """Bind the addresses; requests are refused as not run until ready.

        Raises:
            OSError: An address can't be bound.
        """
        self._frontend.start()
        self._peer_server.start()

    def start(self) -> None:
        """Register at the platform and begin to serve; ``bind`` comes first.

        Returns when the router is registered. Callers are served once the
        configuration is confirmed. Waits while the platform is unreachable.
        """
        self._relay.start()
        self._fleet.peer_address = self.peer_address
        self._fleet.http_address = self.http_address
        self._status = status_writer.StatusWriter(
            self._platform,
            router_status.RouterStatus(
                instance=self._settings.instance,
                incarnation="",
                data_centre=self._settings.data_centre,
                http_address=self.http_address,
                peer_address=self.peer_address,
                state=router_state.RouterState.STARTING,
                revision=0,
            ),
            on_superseded=lambda reason: self._actors.hooks.stop_superseded(
                reason
            ),
        )
        own = self._status.register(self._stopped)
        if own is None:
            return
        logger.info("membership: registered as {}", own.incarnation)
        self._fleet.incarnation = own.incarnation
        self._start_components(own)
        self._status.start()
        self._report_peer_revisions(own)

    def terminate(self) -> None:
        """Begin the drain; ``wait`` returns at its end."""
        if not self._fleet.incarnation:
            self._set_exit_code(0)
            return
        self._actors.control.tell(drain_events.TerminationRequested())

    def wait(self) -> int:
        """Wait for the end of the drain and return the exit code."""
        self._stopped.wait()
        return self._exit_code

    def stop(self) -> None:
        """Release all resources; requests in flight are aborted."""
        self._stopped.set()
        self._frontend.stop()
        self._peer_server.stop()
        if self._fleet.incarnation:
            self._status.stop()
            self._actors.stop()
        self._relay.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._watch_pool.shutdown(wait=False, cancel_futures=True)
        self._peer_pool.close()
        self._backends.close()
        self._platform.close()
        self._watches.close()

    def _start_components(self, own: router_status.RouterStatus) -> None:
        self._actors = router_actors.RouterActors(
            own,
            router_actors.ActorDependencies(
                fleet=self._fleet,
                platform=self._platform,
                watches=self._watches,
                peers=self._peers,
                handler=self._handler,
                relay=self._relay,
                backends=self._backends,
                store=self._store,
                status=self._status,
                journals=self._journals,
                transfers=self._transfers,
                pool=self._pool,
                watch_pool=self._watch_pool,
            ),
            in_flight=lambda: self._api.in_flight if self._api else 0,
            on_exit=self._set_exit_code,
        )
        components = router_components.RouterComponents(
            fleet=self._fleet,
            budget=self._actors.budget,
            dispatch=self._actors.dispatch,
            journal=self._actors.journal,
            relay=self._relay,
            backends=self._backends,
            peers=self._peers,
            answers=self._answers,
            store=self._store,
            histograms=histograms.Histograms(),
            metrics=statsd_metrics.StatsdMetrics(self._settings.statsd_address),
        )
        self._api = api.Api(
            components,
            in_flight_limit=self._settings.limits.max_requests_in_flight,
        )
        self._actors.start()

    def _report_peer_revisions(self, own: router_status.RouterStatus) -> None:
        """Report the revisions of all routers to the revision tracker."""
        statuses = self._read_statuses()
        peers = tuple(
            status.instance
            for status in statuses
            if status.instance != self._settings.instance
        )
        # Sent first, so that the peers that StatusRegistered names can be
        # reached.
        self._actors.control.tell(status_events.StatusesRead(tuple(statuses)))
        revision = max(
            [own.revision, *(status.revision for status in statuses)]
        )
        self._actors.hooks.recover_predecessors(own.deaths)
        self._actors.control.tell(
            platform_events.StatusRegistered(revision, peers)
        )

    def _read_statuses(self) -> list[router_status.RouterStatus]:
        """Read the status of all routers; retry until it succeeds.

        Without the revisions of the peers, a stale read from the platform could
        put an older configuration in force.
        """
        while not self._stopped.is_set():
            try:
                listed = self._platform.list(status_codec.STATUS_PREFIX)
            except _errors.PlatformError as exc:
                logger.warning(
                    "membership: status objects not read, will be repeated: {}",
                    exc,
                )
                self._stopped.wait(STATUS_READ_RETRY_S)
                continue
            return [
                status_codec.decode_status(entry) for entry in listed.entries
            ]
        return []

    def _handle_exchange(self, exch: exchange.Exchange) -> None:
        if self._api is None:
            raise accepted_request.not_serving(self._fleet)
        self._api.handle(exch)

    def _on_progress(
        self, reports: list[stream_progress.StreamProgress]
    ) -> None:
        self._actors.dispatch.tell(
            dispatch_messages.EventBatch(
                tuple(
                    events.ChunkReceived(
                        report.attempt,
                        report.attempt,
                        report.index,
                        report.tokens,
                        report.last,
                    )
                    for report in reports
                )
            )
        )

    def _set_exit_code(self, code: int) -> None:
        self._exit_code = code
        self._stopped.set()


def _parse_address(address: str) -> dict[str, str | int]:
    host, _, port = address.rpartition(":")
    return {"host": host.strip("[]"), "port": int(port)}
