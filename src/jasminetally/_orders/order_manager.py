"""Orders of one router to the engines that it is responsible for."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from jasminetally._config import manifest as manifest_module
from jasminetally._membership import incarnation as incarnations
from jasminetally._orders import engine_keeper
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
            rate_per_s=policy.loads_per_s, burst=policy.loads_burst
        )
        self._assignment = rendezvous.Assignment()
        self._manifest: manifest_module.Manifest | None = None
        self._keepers: dict[str, engine_keeper.EngineKeeper] = {}
        self._draining = False

    @property
    def leases(self) -> int:
        """Number of leases that are held or may be held."""
        return sum(not keeper.is_idle for keeper in self._keepers.values())

    @property
    def engines(self) -> list[str]:
        """Engines whose state this router has to know."""
        return list(self._keepers)

    def on_config(self, manifest: manifest_module.Manifest) -> None:
        """Take the configuration in force."""
        self._manifest = manifest
        self._assignment.set_keys(manifest.orders)
        self._assign()

    def on_members(self, instances: Iterable[str]) -> None:
        """Take the instances of all ready routers, this one included."""
        self._assignment.set_instances(instances)
        self._assign()

    def drain(self) -> None:
        """Send no further order; leases are released as orders end."""
        self._draining = True
        self._assign()

    def handle(
        self, event: engine_keeper.Event, now_s: float
    ) -> list[engine_keeper.Effect]:
        """Take an event about an engine and return what has to be done."""
        keeper = self._keepers.get(event.engine)
        return keeper.handle(event, now_s) if keeper else []

    def tick(self, now_s: float) -> list[engine_keeper.Effect]:
        """Return what is due; call at least every second."""
        effects: list[engine_keeper.Effect] = []
        for engine, keeper in list(self._keepers.items()):
            effects += keeper.tick(now_s)
            if engine not in self._wanted() and keeper.is_idle:
                del self._keepers[engine]
        return effects

    def _wanted(self) -> Mapping[str, None]:
        if self._draining or self._manifest is None:
            return {}
        return self._own

    def _assign(self) -> None:
        self._own = dict.fromkeys(self._assignment.keys_of(self._instance))
        wanted = self._wanted()
        for engine in wanted:
            if engine not in self._keepers:
                self._keepers[engine] = engine_keeper.EngineKeeper(
                    engine=engine,
                    incarnation=self._incarnation,
                    policy=self._policy,
                    bucket=self._bucket,
                )
        for engine, keeper in self._keepers.items():
            self._set_order(engine, keeper, is_wanted=engine in wanted)

    def _set_order(
        self,
        engine: str,
        keeper: engine_keeper.EngineKeeper,
        *,
        is_wanted: bool,
    ) -> None:
        manifest = self._manifest
        server = manifest.backend_servers.get(engine) if manifest else None
        checks = server is not None and server.checks_fencing
        order = manifest.orders.get(engine) if manifest and server else None
        keeper.set_order(order if is_wanted else None, checks_fencing=checks)
