"""Messages to the order actor."""

from __future__ import annotations

import dataclasses

from jasminetally._config import manifest as manifest_module


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """Another configuration is in force.

    Attributes:
        manifest: Manifest of the configuration.
    """

    manifest: manifest_module.Manifest


@dataclasses.dataclass(frozen=True)
class ReadyRoutersChanged:
    """The set of ready routers has changed.

    Attributes:
        instances: Instances of all ready routers, including this one if it is
            ready.
    """

    instances: frozenset[str]


@dataclasses.dataclass(frozen=True)
class OrderTick:
    """Timer tick: effects that are due are started.

    Attributes:
        drain: Whether to start draining: no further orders are sent, and the
            leases are released as the orders in flight end. Draining can't be
            undone by a later tick.
    """

    drain: bool = False
