"""Entry of the platform's list of instances."""

from __future__ import annotations

from typing import Literal

import msgspec


class ListedInstance(msgspec.Struct, frozen=True):
    """Content of a platform object under ``instances/``.

    A JSON object, unlike the system's own kinds, as the platform defines it.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre of the instance.
        state: Whether the platform is about to take the instance away.
    """

    instance: str
    data_centre: str
    state: Literal["live", "leaving"]
