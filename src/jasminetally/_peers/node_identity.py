"""Identity of one run of a router."""

from __future__ import annotations

from typing import NamedTuple


class NodeIdentity(NamedTuple):
    """Identity of one run of a router.

    Attributes:
        node: Name of the instance.
        incarnation: Id of this run, unique over all runs of all routers.
        caller_address: ``ip:port`` for callers.
        peer_address: ``ip:port`` for other routers.
        data_centre: Where the instance stands.
        capacity: Processor time that it has, in cores.
    """

    node: str
    incarnation: str
    caller_address: str
    peer_address: str
    data_centre: str
    capacity: float
