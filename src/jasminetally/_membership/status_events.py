"""Events of the instance view that come from the status objects."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import router_status


@dataclasses.dataclass(frozen=True)
class StatusesRead:
    """All status objects were read.

    Attributes:
        statuses: The statuses, with incarnations filled in.
    """

    statuses: tuple[router_status.RouterStatus, ...]


@dataclasses.dataclass(frozen=True)
class StatusReceived:
    """A watch or a write has shown one status object.

    Attributes:
        status: The status, with its incarnation filled in.
    """

    status: router_status.RouterStatus


@dataclasses.dataclass(frozen=True)
class StatusDeleted:
    """A watch has shown that a status object was deleted.

    A router deletes its own after a drain, when it holds nothing any more.

    Attributes:
        instance: Name of the instance.
    """

    instance: str
