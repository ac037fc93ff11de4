"""Paths of each router to the backend servers."""

from __future__ import annotations

from collections.abc import Iterable
import itertools

from testing.soak import proxy as proxy_lib
from testing.users_platform import port_block


class ServerPaths:
    """Proxies of each router before each backend server.

    A router's proxy to the store names them in place of the servers.

    Args:
        store_proxies: Proxy of each router to the store; grows until the
            first server is added.
    """

    def __init__(self, store_proxies: list[proxy_lib.Proxy]) -> None:
        self._store_proxies = store_proxies
        self._paths: dict[str, list[proxy_lib.Proxy]] = {}
        # Variant of the cut of each router that is cut off now.
        self._cuts: dict[int, str] = {}

    async def add(self, address: str) -> None:
        """Add a server.

        Args:
            address: ``ip:port`` at which it is listed in the store.
        """
        paths = []
        for store_proxy in self._store_proxies:
            path = proxy_lib.Proxy(address, port=port_block.free_port())
            await path.start()
            paths.append(path)
            store_proxy.rewrites[address.encode()] = path.address.encode()
        self._paths[address] = paths
        for router, variant in self._cuts.items():
            await _cut_path(paths[router], variant)

    def remove(self, address: str) -> None:
        """Refuse connections to a server that is gone.

        Args:
            address: ``ip:port`` at which it was listed in the store.
        """
        for path in self._paths.pop(address, ()):
            path.stop()

    async def cut(self, router: int, variant: str) -> None:
        """Cut a router off from all servers.

        Args:
            router: Number of the router.
            variant: ``hang``: bytes and handshakes are lost. ``reset``: open
                and new connections are reset. ``refuse_new``: new ones are.
        """
        self._cuts[router] = variant
        for path in self._paths_of(router):
            await _cut_path(path, variant)

    async def heal(self, router: int) -> None:
        """Let a router reach the servers again."""
        self._cuts.pop(router, None)
        for path in self._paths_of(router):
            await path.heal()

    def stop(self) -> None:
        """Stop all proxies."""
        for path in itertools.chain(*self._paths.values()):
            path.stop()

    def _paths_of(self, router: int) -> Iterable[proxy_lib.Proxy]:
        return [paths[router] for paths in self._paths.values()]


async def _cut_path(path: proxy_lib.Proxy, variant: str) -> None:
    match variant:
        case "hang":
            await path.partition()
        case "reset":
            path.mode = "refuse"
            path.reset_connections()
        case "refuse_new":
            path.mode = "refuse"
