"""Identity of one run of a router."""

from __future__ import annotations

from typing import NamedTuple


class NodeIdentity(NamedTuple):
    """Identity of one run of a router.

    Attributes:
        node: Name of the instance.
        incarnation: Id of this run, unique among all runs of all routers.
        caller_address: ``ip:port`` to which callers connect.
        peer_address: ``ip:port`` to which other routers connect.
        data_centre: Data centre of the instance.
        capacity: Processor time available to the router, in cores.
    """

    node: str
    incarnation: str
    caller_address: str
    peer_address: str
    data_centre: str
    capacity: float
