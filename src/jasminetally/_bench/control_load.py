"""Interface of the control bench's loads."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from jasminetally._bench import control_size
    from jasminetally._bench import control_tally


class ControlLoad(Protocol):
    """Control work of one role in one router, without requests' data.

    A load is built with the real decision objects and codecs, then stepped
    through virtual seconds.
    """

    def __init__(self, size: control_size.ControlSize) -> None:
        """Build the state of a router in a deployment of a size."""

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Do the work of one virtual second."""
