"""What the word of a server on its brittleness has changed."""

from __future__ import annotations

from typing import NamedTuple


class BrittlenessChange(NamedTuple):
    """What the word of a server on its brittleness has changed.

    Attributes:
        server: Whether it has changed for the server.
        service: Whether it has changed for the server's service.
    """

    server: bool
    service: bool
