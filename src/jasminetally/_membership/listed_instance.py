"""Entry of the platform's list of instances."""

from __future__ import annotations

from typing import Literal

import msgspec


class ListedInstance(msgspec.Struct, frozen=True):
    """Content of a store object under ``instances/``.

    Encoded as a JSON object, unlike the status objects of the routers, because
    the platform defines the form.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre of the instance.
        state: ``leaving`` if the platform is about to remove the instance.
    """

    instance: str
    data_centre: str
    state: Literal["live", "leaving"]
