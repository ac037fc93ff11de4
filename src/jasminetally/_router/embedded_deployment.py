"""Whole deployment in one process, for the demo and for tests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._config import config_codec
from jasminetally._membership import status_codec
from jasminetally._router import embedded_config
from jasminetally._router import router_daemon
from jasminetally._settings import router_settings
from jasminetally._standin import engine_server
from jasminetally._standin import platform_server
from jasminetally._standin import service_server

if TYPE_CHECKING:
    from collections.abc import Mapping
    import types

    from jasminetally._config import order

LOOPBACK = "127.0.0.1:0"
READY_TIMEOUT_S = 20.0


class EmbeddedDeployment:
    """Platform, engines, a plain service and routers on loopback ports.

    A context manager that starts the same daemons that otherwise run as
    processes of their own. It only starts and stops them and takes no part in
    serving requests.

    Args:
        routers: Number of routers.
        engines: Number of engines.
        tokens: Tokens paid into the budget of each client account.
        orders: Orders by engine, with the desired state of each.

    Attributes:
        platform: Platform stand-in.
        engines: Engine stand-ins.
        service: Service stand-in.
        routers: Routers.
    """

    def __init__(
        self,
        *,
        routers: int = 2,
        engines: int = 2,
        tokens: int = 4000,
        orders: Mapping[str, order.Order] | None = None,
    ) -> None:
        self._tokens = tokens
        self._orders = orders
        self.platform = platform_server.PlatformServer()
        self.engines = [
            engine_server.EngineServer(
                name=f"engine-{number}",
                models=[embedded_config.MODEL],
                seed=number,
            )
            for number in range(1, engines + 1)
        ]
        self.service = service_server.ServiceServer(name="board-1")
        self.routers: list[router_daemon.RouterDaemon] = []
        self._router_count = routers

    def __enter__(self) -> EmbeddedDeployment:
        for daemon in (self.platform, *self.engines, self.service):
            daemon.start()
        self._store_config()
        for number in range(1, self._router_count + 1):
            self._start_router(f"entry-{number}")
        self._wait_until_ready()
        return self

    def _wait_until_ready(self) -> None:
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not all(
            router.serving.is_set()
            and len(router.reachable) == self._router_count - 1
            for router in self.routers
        ):
            if time.monotonic() > end_s:
                self.__exit__(None, None, None)
                raise _errors.JasminetallyError(
                    f"not all of {self._router_count} routers were ready and "
                    f"reachable within {READY_TIMEOUT_S} s"
                )
            time.sleep(0.01)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        for router in self.routers:
            router.stop()
        for daemon in (*self.engines, self.service, self.platform):
            daemon.stop()

    def drain(self) -> list[int]:
        """Drain all routers and return their exit codes."""
        for router in self.routers:
            router.terminate()
        return [router.wait() for router in self.routers]

    def _start_router(self, instance: str) -> None:
        self.platform.store.create(
            f"{status_codec.INSTANCE_LIST_PREFIX}{instance}",
            embedded_config.encode_listed_instance(instance),
        )
        router = router_daemon.RouterDaemon(
            router_settings.RouterSettings(
                instance=instance,
                data_centre="local",
                http_address=LOOPBACK,
                peer_address=LOOPBACK,
                platform_address=self.platform.address,
            )
        )
        self.routers.append(router)
        router.bind()
        router.start()

    def _store_config(self) -> None:
        declared = embedded_config.build_manifest(
            engines={engine.name: engine.address for engine in self.engines},
            services={self.service.name: self.service.address},
            tokens=self._tokens,
            orders=self._orders,
        )
        self.platform.store.create(
            config_codec.CONFIG_KEY, embedded_config.encode_config(declared)
        )
