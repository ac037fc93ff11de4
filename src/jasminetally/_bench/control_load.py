"""Interface of the control bench's loads."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from jasminetally._bench import control_size
    from jasminetally._bench import control_tally


class ControlLoad(Protocol):
    """Control work of one role in one router, without request data.

    A load uses the decision objects and codecs of the router and advances in
    steps of one virtual second.
    """

    def __init__(self, size: control_size.ControlSize) -> None:
        """Build the state of a router in a deployment of the given size."""

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Do the work of one virtual second."""
