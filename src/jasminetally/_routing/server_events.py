"""Events about the listing of backend servers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import server_info


@dataclasses.dataclass(frozen=True, slots=True)
class ServerListed:
    """The instance list or the configuration contains a live server."""

    server: server_info.ServerInfo


@dataclasses.dataclass(frozen=True, slots=True)
class ServerDraining:
    """The list or the server itself reports that it is draining."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUnlisted:
    """The server is no longer listed."""

    server: str
