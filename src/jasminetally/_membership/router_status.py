"""Status object that each router keeps in the store."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._membership import router_state


class RouterStatus(NamedTuple):
    """Content of the store object ``router/<instance>``, encoded as an array.

    Attributes:
        instance: Name of the instance.
        incarnation: Name of the form ``instance#number``; empty in the first
            write of a process, because the version of the object after that
            write becomes the number.
        data_centre: Data centre of the instance.
        http_address: IP address and port for callers.
        peer_address: IP address and port for other routers.
        state: State of the router.
        revision: Revision of the configuration in force; before one is in
            force, the revision of the previous incarnation.
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
