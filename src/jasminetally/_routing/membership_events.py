"""Events about the other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RouterCountChanged:
    """Number of routers that use the same servers, this one included.

    Send it at the start and when it changes; 1 is assumed before.
    """

    count: int
