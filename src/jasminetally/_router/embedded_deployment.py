"""Whole deployment in one process, for the demo and for tests."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

import msgspec

from jasminetally import _errors
from jasminetally._config import backend_server
from jasminetally._config import budget
from jasminetally._config import client_account
from jasminetally._config import config_codec
from jasminetally._config import event
from jasminetally._config import manifest
from jasminetally._config import model
from jasminetally._config import stored_config
from jasminetally._config import tier
from jasminetally._config import top_up
from jasminetally._membership import status_codec
from jasminetally._router import router_daemon
from jasminetally._settings import router_settings
from jasminetally._standin import engine_server
from jasminetally._standin import platform_server
from jasminetally._standin import service_server

if TYPE_CHECKING:
    from types import TracebackType

MODEL = "board-small"
SERVICE = "board"
KEY = "demo-key"
CLIENT_ACCOUNT = "hotel-demo"
EVENT = "shift-change"
OTHER_ACCOUNT = "studio-demo"
OTHER_EVENT = "print-slot"
LOOPBACK = "127.0.0.1:0"
READY_TIMEOUT_S = 20.0


class EmbeddedDeployment:
    """Platform, engines, a service and routers on loopback ports.

    A context manager. It starts the same daemons that run as processes
    elsewhere; nothing here takes part in serving a request.

    Args:
        routers: Number of routers.
        engines: Number of engines.
        tokens: Tokens paid into the budget of the demo account.

    Attributes:
        platform: The platform stand-in.
        engines: The engine stand-ins.
        service: The service stand-in.
        routers: The routers.
    """

    def __init__(
        self, *, routers: int = 2, engines: int = 2, tokens: int = 4000
    ) -> None:
        self._tokens = tokens
        self.platform = platform_server.PlatformServer()
        self.engines = [
            engine_server.EngineServer(
                name=f"engine-{number}", models=[MODEL], seed=number
            )
            for number in range(1, engines + 1)
        ]
        self.service = service_server.ServiceServer(name="board-1")
        self.routers: list[router_daemon.RouterDaemon] = []
        self._router_count = routers

    def __enter__(self) -> EmbeddedDeployment:
        for part in (self.platform, *self.engines, self.service):
            part.start()
        self._configure()
        for number in range(1, self._router_count + 1):
            self._start_router(f"entry-{number}")
        end_s = time.monotonic() + READY_TIMEOUT_S
        for router in self.routers:
            if not router.serving.wait(max(0.0, end_s - time.monotonic())):
                self.__exit__(None, None, None)
                raise _errors.JasminetallyError(
                    f"a router is not ready after {READY_TIMEOUT_S} s"
                )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for router in self.routers:
            router.stop()
        for part in (*self.engines, self.service, self.platform):
            part.stop()

    def drain(self) -> list[int]:
        """Drain all routers; return their exit codes."""
        for router in self.routers:
            router.terminate()
        return [router.wait() for router in self.routers]

    def _start_router(self, instance: str) -> None:
        listed = {
            "instance": instance,
            "data_centre": "local",
            "state": "live",
        }
        self.platform.store.create(
            f"{status_codec.LIST_PREFIX}{instance}", msgspec.json.encode(listed)
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

    def _configure(self) -> None:
        declared = self.manifest()
        stored = stored_config.StoredConfig(
            schema=config_codec.SCHEMA,
            revision=declared.revision,
            operation="embedded",
            applied_by="embedded",
            applied_at_s=time.time(),
            manifest=declared,
        )
        self.platform.store.create(
            config_codec.CONFIG_KEY, config_codec.encode(stored)
        )

    def manifest(self) -> manifest.Manifest:
        """Return the manifest of this deployment."""
        servers = {
            engine.name: backend_server.BackendServer(
                name=engine.name,
                kind="engine",
                address=engine.address,
                data_centre="local",
                model=MODEL,
                checks_fencing=True,
            )
            for engine in self.engines
        }
        servers[self.service.name] = backend_server.BackendServer(
            name=self.service.name,
            kind="service",
            address=self.service.address,
            data_centre="local",
            service=SERVICE,
        )
        return manifest.Manifest(
            revision=1,
            based_on=0,
            models={MODEL: model.Model(MODEL, 8192)},
            tiers={
                "desk": tier.Tier("desk", 100, 30.0, 64, "live"),
                "night": tier.Tier("night", 10, 600.0, 64, "overnight"),
            },
            events={
                EVENT: _event(EVENT, CLIENT_ACCOUNT),
                OTHER_EVENT: _event(OTHER_EVENT, OTHER_ACCOUNT),
            },
            client_accounts={
                CLIENT_ACCOUNT: _account(CLIENT_ACCOUNT, KEY, self._tokens),
                OTHER_ACCOUNT: _account(
                    OTHER_ACCOUNT, f"other-{KEY}", self._tokens
                ),
            },
            backend_servers=servers,
            orders={},
        )


def _event(name: str, account: str) -> event.Event:
    start_s = time.time() + 3600.0
    return event.Event(name, account, "general", start_s, "desk")


def _account(name: str, key: str, tokens: int) -> client_account.ClientAccount:
    paid = budget.Budget("general", (top_up.TopUp("first", tokens),))
    return client_account.ClientAccount(
        name=name,
        key_hashes=(hashlib.sha256(key.encode()).hexdigest(),),
        default_budget="general",
        budgets={"general": paid},
    )
