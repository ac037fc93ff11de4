"""Events about the status objects of routers."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import router_status


@dataclasses.dataclass(frozen=True)
class StatusesRead:
    """All status objects were read.

    Attributes:
        statuses: All statuses; none has an empty incarnation.
    """

    statuses: tuple[router_status.RouterStatus, ...]


@dataclasses.dataclass(frozen=True)
class StatusReceived:
    """A watch or a write returned one status object.

    Attributes:
        status: The status; its incarnation is not empty.
    """

    status: router_status.RouterStatus


@dataclasses.dataclass(frozen=True)
class StatusDeleted:
    """A watch reported that a status object was deleted.

    A router deletes its own at the end of its drain, after it has returned its
    grants and leases.

    Attributes:
        instance: Name of the instance.
    """

    instance: str
