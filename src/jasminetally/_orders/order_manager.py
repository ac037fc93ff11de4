"""Orders of one router to the engines that are assigned to it."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from jasminetally._config import manifest as manifest_module
from jasminetally._membership import incarnation as incarnations
from jasminetally._orders import engine_reconciler
from jasminetally._orders import order_policy
from jasminetally._shared import rendezvous
from jasminetally._shared import token_bucket


class OrderManager:
    """Determines the engines of this router and runs a reconciler for each.

    Engines are assigned to the ready routers by rendezvous hashing. The lease
    protects an engine while routers disagree about the assignment.
    """

    def __init__(
        self, *, incarnation: str, policy: order_policy.OrderPolicy
    ) -> None:
        """Create a manager without engines.

        Args:
            incarnation: Incarnation of this router.
            policy: Time limits, intervals and rate limits.
        """
        self._incarnation = incarnation
        self._instance = incarnations.instance_of(incarnation)
        self._policy = policy
        self._bucket = token_bucket.TokenBucket(
            rate_per_s=policy.loads_per_s, burst=policy.load_burst
        )
        self._assignment = rendezvous.Assignment()
        self._manifest: manifest_module.Manifest | None = None
        self._reconcilers: dict[str, engine_reconciler.EngineReconciler] = {}
        self._draining = False

    @property
    def lease_count(self) -> int:
        """Number of leases that this router holds, may hold or needs."""
        return sum(
            not reconciler.is_idle for reconciler in self._reconcilers.values()
        )

    @property
    def engines(self) -> list[str]:
        """Engines that are assigned to this router or still have a lease."""
        return list(self._reconcilers)

    def on_config(self, manifest: manifest_module.Manifest) -> None:
        """Apply the manifest of the configuration in force."""
        self._manifest = manifest
        self._assignment.set_keys(manifest.orders)
        self._update_assignment()

    def on_ready_routers(self, instances: Iterable[str]) -> None:
        """Assign the engines to the routers that are ready.

        Args:
            instances: Instances of all ready routers, including this one if it
                is ready.
        """
        self._assignment.set_instances(instances)
        self._update_assignment()

    def drain(self) -> None:
        """Send no further orders.

        Each lease is released once its order in flight has ended.
        """
        self._draining = True
        self._update_assignment()

    def handle(
        self, event: engine_reconciler.Event, now_s: float
    ) -> list[engine_reconciler.Effect]:
        """Pass an event to the reconciler of its engine.

        Events of engines that this router no longer handles are ignored.

        Args:
            event: Event to process.
            now_s: Monotonic time in seconds.

        Returns:
            The effects to carry out.
        """
        reconciler = self._reconcilers.get(event.engine)
        return reconciler.handle(event, now_s) if reconciler else []

    def tick(self, now_s: float) -> list[engine_reconciler.Effect]:
        """Start the effects that are due on all engines.

        Call this at least once per second.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The effects to carry out.
        """
        effects: list[engine_reconciler.Effect] = []
        for engine, reconciler in list(self._reconcilers.items()):
            effects += reconciler.tick(now_s)
            if engine not in self._assigned_engines() and reconciler.is_idle:
                del self._reconcilers[engine]
        return effects

    def _assigned_engines(self) -> Mapping[str, None]:
        if self._draining or self._manifest is None:
            return {}
        return self._own_engines

    def _update_assignment(self) -> None:
        self._own_engines = dict.fromkeys(
            self._assignment.keys_of(self._instance)
        )
        assigned = self._assigned_engines()
        for engine in assigned:
            if engine not in self._reconcilers:
                self._reconcilers[engine] = engine_reconciler.EngineReconciler(
                    engine=engine,
                    incarnation=self._incarnation,
                    policy=self._policy,
                    bucket=self._bucket,
                )
        for engine, reconciler in self._reconcilers.items():
            self._set_desired_state(
                engine, reconciler, is_assigned=engine in assigned
            )

    def _set_desired_state(
        self,
        engine: str,
        reconciler: engine_reconciler.EngineReconciler,
        *,
        is_assigned: bool,
    ) -> None:
        manifest = self._manifest
        server = manifest.backend_servers.get(engine) if manifest else None
        checks_fencing = server is not None and server.checks_fencing
        desired = manifest.orders.get(engine) if manifest and server else None
        reconciler.set_desired_state(
            desired if is_assigned else None, checks_fencing=checks_fencing
        )
