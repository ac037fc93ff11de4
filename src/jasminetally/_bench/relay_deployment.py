"""Deployment of real processes for the relay bench."""

from __future__ import annotations

import contextlib
import hashlib
import pathlib
import tempfile
import time
from typing import TYPE_CHECKING

import msgspec
import urllib3
import yaml

from jasminetally import _errors
from jasminetally._bench import daemon_process
from jasminetally._config import backend_server
from jasminetally._config import budget
from jasminetally._config import client_account
from jasminetally._config import config_codec
from jasminetally._config import manifest
from jasminetally._config import model as model_module
from jasminetally._config import stored_config
from jasminetally._config import tier
from jasminetally._config import top_up
from jasminetally._platform import http_client
from jasminetally._shared import whole_reply

if TYPE_CHECKING:
    import types

MODEL = "board-small"
API_KEY = "bench-key"
ACCOUNT = "bench"
INSTANCE = "entry-1"
PAID_TOKENS = 1_000_000_000
READY_TIMEOUT_S = 20.0
ANY_PORT_OPTIONS = (
    "--http-address",
    "127.0.0.1:0",
    "--peer-address",
    "127.0.0.1:0",
)


class RelayDeployment:
    """Context manager that runs a platform, engines and a router on loopback.

    Each of them is a process on a free port.

    Args:
        engines: Number of engines.
        threads: Worker threads of each engine; an open stream occupies one.

    Attributes:
        router: Process of the router.
        engines: Processes of the engines.
    """

    def __init__(self, *, engines: int, threads: int) -> None:
        self._engine_count = engines
        self._threads = threads
        self._stack = contextlib.ExitStack()
        self._http = whole_reply.make_pool_manager(retries=False)
        self.engines: list[daemon_process.DaemonProcess] = []
        self.router: daemon_process.DaemonProcess

    def __enter__(self) -> RelayDeployment:
        with contextlib.ExitStack() as stack:
            stack.callback(self._http.clear)
            platform = stack.enter_context(
                daemon_process.DaemonProcess(["standin", "platform"])
            )
            for number in range(self._engine_count):
                arguments = ["standin", "engine", "--name", f"engine-{number}"]
                arguments += ["--threads", str(self._threads)]
                engine = daemon_process.DaemonProcess(arguments)
                self.engines.append(stack.enter_context(engine))
            self._write_config(platform.addresses[0])
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            settings = pathlib.Path(folder, "router.yaml")
            settings.write_text(self._router_settings(platform.addresses[0]))
            self.router = stack.enter_context(
                daemon_process.DaemonProcess(
                    ["router", str(settings), *ANY_PORT_OPTIONS]
                )
            )
            self._wait_until_ready()
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._stack.__exit__(kind, value, traceback)

    def set_engines(self, **model: float) -> None:
        """Change the behaviour of all engines.

        Args:
            **model: Fields of the stand-in's ``EngineBehaviour``.
        """
        for engine in self.engines:
            address = engine.addresses[0]
            self._http.request(
                "POST", f"http://{address}/admin/faults", json=model
            )

    def _router_settings(self, platform: str) -> str:
        return yaml.safe_dump(
            {
                "instance": INSTANCE,
                "data_centre": "local",
                "http_address": "127.0.0.1:8080",
                "peer_address": "127.0.0.1:8090",
                "platform_address": platform,
                "limits": {
                    "max_connections": 2048,
                    "max_requests_in_flight": 2048,
                },
            }
        )

    def _wait_until_ready(self) -> None:
        end_s = time.monotonic() + READY_TIMEOUT_S
        url = f"http://{self.router.addresses[0]}/v1/addresses"
        while time.monotonic() < end_s:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                response = self._http.request("GET", url)
                if response.status == 200 and response.json().get("addresses"):
                    return
            time.sleep(0.1)
        raise _errors.JasminetallyError(
            f"{url} returned no address of a ready router within "
            f"{READY_TIMEOUT_S} s"
        )

    def _write_config(self, platform_address: str) -> None:
        platform = http_client.HttpPlatform(platform_address)
        listed = {"instance": INSTANCE, "data_centre": "local", "state": "live"}
        platform.create(f"instances/{INSTANCE}", msgspec.json.encode(listed))
        declared = self._build_manifest()
        stored = stored_config.StoredConfig(
            schema=config_codec.SCHEMA,
            revision=declared.revision,
            operation="bench",
            applied_by="bench",
            applied_at_s=time.time(),
            manifest=declared,
        )
        platform.create(config_codec.CONFIG_KEY, config_codec.encode(stored))
        platform.close()

    def _build_manifest(self) -> manifest.Manifest:
        servers = {
            f"engine-{number}": backend_server.BackendServer(
                name=f"engine-{number}",
                kind="engine",
                address=engine.addresses[0],
                data_centre="local",
                model=MODEL,
                checks_fencing=True,
                slots=self._threads,
            )
            for number, engine in enumerate(self.engines)
        }
        paid = budget.Budget("all", (top_up.TopUp("first", PAID_TOKENS),))
        account = client_account.ClientAccount(
            name=ACCOUNT,
            key_hashes=(hashlib.sha256(API_KEY.encode()).hexdigest(),),
            default_budget="all",
            budgets={"all": paid},
        )
        return manifest.Manifest(
            revision=1,
            based_on=0,
            models={MODEL: model_module.Model(MODEL, 8192)},
            tiers={"desk": tier.Tier("desk", 100, 120.0, 2048, "live")},
            events={},
            client_accounts={ACCOUNT: account},
            backend_servers=servers,
            orders={},
        )
