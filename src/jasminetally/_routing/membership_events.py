"""Events about the other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RouterCountChanged:
    """The number of routers that share the backend servers changed.

    Attributes:
        count: Number of routers, including this one; 1 until the first event.
    """

    count: int
