"""Orders of one router to the engines that it is responsible for."""

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
    """Chooses the engines of this router and keeps one keeper for each."""

    def __init__(
        self, *, incarnation: str, policy: order_policy.OrderPolicy
    ) -> None:
        """Prepare a manager.

        Args:
            incarnation: Incarnation of this router.
            policy: Times and rates.
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
        """Number of leases that are held or may be held."""
        return sum(
            not reconciler.is_idle for reconciler in self._reconcilers.values()
        )

    @property
    def engines(self) -> list[str]:
        """Engines whose state this router has to know."""
        return list(self._reconcilers)

    def on_config(self, manifest: manifest_module.Manifest) -> None:
        """Take the configuration in force."""
        self._manifest = manifest
        self._assignment.set_keys(manifest.orders)
        self._update_assignment()

    def on_ready_routers(self, instances: Iterable[str]) -> None:
        """Take the instances of all ready routers, this one included."""
        self._assignment.set_instances(instances)
        self._update_assignment()

    def drain(self) -> None:
        """Send no further order; leases are released as orders end."""
        self._draining = True
        self._update_assignment()

    def handle(
        self, event: engine_reconciler.Event, now_s: float
    ) -> list[engine_reconciler.Effect]:
        """Take an event about an engine and return what has to be done."""
        reconciler = self._reconcilers.get(event.engine)
        return reconciler.handle(event, now_s) if reconciler else []

    def tick(self, now_s: float) -> list[engine_reconciler.Effect]:
        """Return what is due; call at least every second."""
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
