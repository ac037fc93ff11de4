"""State that the components of one router process share."""

from __future__ import annotations

import time

from jasminetally._deployment import caller_limits
from jasminetally._deployment import deployment_tracker
from jasminetally._forward import crash_store
from jasminetally._forward import link_gate
from jasminetally._forward import node_settings
from jasminetally._forward import platform_codec
from jasminetally._links import receive_meter
from jasminetally._observe import event_log
from jasminetally._observe import request_metrics
from jasminetally._overload import listener_guards
from jasminetally._overload import resource_limits
from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._placing import crash_history
from jasminetally._placing import limit_divider
from jasminetally._placing import notice_book
from jasminetally._placing import server_registry
from jasminetally._platform import async_store
from jasminetally._platform import port
from jasminetally._prepaid import prepaid_service

# Limits that apply until the first configuration is known.
INITIAL_LIMITS = caller_limits.CallerLimits(16_384, 1_048_576, 3.0, 15.0)


class NodeState:
    """State that the components of one router process share.

    Args:
        settings: Settings of the router.
        platform: The platform's store.
        codec: Formats and header names of the platform.
        log: Receives the log events of all components.

    Attributes:
        settings: Settings of the router.
        codec: Formats and header names of the platform.
        log: Receives the log events of all components.
        own_identity: Identity of this incarnation of the router.
        metrics: Metrics of requests and attempts.
        guards: Bounds on what clients make the router hold.
        store: Calls to the platform's store.
        fleet: Exchange of statuses and messages with the other routers.
        tracker: Holds the configuration in force.
        server_registry: Records of the known backend servers.
        crash_history: Crashes of backend servers by what may have caused them.
        prepaid: Reservations of prepaid tokens.
        crash_store: Keeps blocked suspects in the platform's store.
        servers_listed: Whether the list of backend servers has been read.
        evacuations_known: Whether it is known which data centres are evacuated,
            or the users evacuate none.
        leaving: Whether the router is shutting down.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform: port.PlatformPort,
        codec: platform_codec.PlatformCodec,
        log: event_log.EventLog,
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.log = log
        self.own_identity = node_identity.NodeIdentity(
            settings.node,
            f"{settings.node}#{time.time_ns():020d}",
            settings.caller_address,
            settings.peer_address,
            settings.data_centre,
            settings.capacity,
        )
        self.metrics = request_metrics.RequestMetrics()
        self.guards = listener_guards.ListenerGuards(
            resource_limits.derive(
                settings.memory_bytes, settings.max_descriptors
            ),
            log,
            self.metrics,
        )
        self.store = async_store.AsyncStore(platform, log)
        self.receive_meter = receive_meter.ReceiveMeter(
            link_gate.bytes_per_s(settings.link_mbps)
        )
        self.fleet = fleet_service.FleetService(
            self.own_identity,
            log,
            lambda: self.receive_meter.patience(time.monotonic()),
        )
        self.tracker = deployment_tracker.DeploymentTracker(
            codec.decode_deployment, log
        )
        self.server_registry = server_registry.ServerRegistry(
            notice_book.NoticeBook(
                limit_divider.LimitDivider(
                    settings.node,
                    lambda: self.fleet.view.sending_nodes(time.monotonic()),
                    lambda: self.fleet.view.large_sending_nodes(
                        time.monotonic()
                    ),
                ),
                cold_allowance=settings.cold_allowance,
            )
        )
        self.crash_history = crash_history.CrashHistory()
        self.crash_store = crash_store.CrashStore(
            self.store, self.crash_history, log
        )
        self.prepaid = prepaid_service.PrepaidService(
            self.fleet, self.store, log
        )
        self.servers_listed = False
        self.evacuations_known = not settings.obeys_evacuations
        self.leaving = False

    @property
    def ready(self) -> bool:
        """Whether the router accepts requests.

        It does once it has a configuration, the list of backend servers, the
        stored suspects of crashes and contact with the other
        routers, until it shuts down.
        """
        return (
            not self.leaving
            and self.tracker.index is not None
            and self.servers_listed
            and self.evacuations_known
            and self.crash_store.read
            and self.fleet.discovery_complete
        )

    def limits(self) -> caller_limits.CallerLimits:
        """Return the limits on callers' requests that are in force."""
        index = self.tracker.index
        return INITIAL_LIMITS if index is None else index.deployment.limits
