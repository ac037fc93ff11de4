"""Messages to the actor of the orders."""

from __future__ import annotations

import dataclasses

from jasminetally._config import manifest as manifest_module


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """A configuration is in force.

    Attributes:
        manifest: The manifest.
    """

    manifest: manifest_module.Manifest


@dataclasses.dataclass(frozen=True)
class ReadyRoutersChanged:
    """The ready routers have changed.

    Attributes:
        instances: All ready routers, this one included.
    """

    instances: frozenset[str]


@dataclasses.dataclass(frozen=True)
class OrderTick:
    """A time has come.

    Attributes:
        drain: Whether to send no further order and to release all leases;
            otherwise this is a tick.
    """

    drain: bool = False
