"""Status object of a router."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._membership import router_state


class RouterStatus(NamedTuple):
    """Content of the platform object ``router/<instance>``.

    Attributes:
        instance: Name of the instance.
        incarnation: ``instance#number``; empty in the first write of a
            process, whose version becomes the number.
        data_centre: Data centre of the instance.
        http_address: IP number and port for callers.
        peer_address: IP number and port for other routers.
        state: State of the router.
        revision: Configuration in force; until one is, the revision that the
            earlier incarnation had.
        deaths: Incarnations whose death this router has acknowledged.
    """

    instance: str
    incarnation: str
    data_centre: str
    http_address: str
    peer_address: str
    state: router_state.RouterState
    revision: int
    deaths: tuple[str, ...] = ()
