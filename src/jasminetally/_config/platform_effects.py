"""Effects of the revision tracker on the platform and on the router."""

from __future__ import annotations

import dataclasses

from jasminetally._config import stored_config


@dataclasses.dataclass(frozen=True)
class WatchConfig:
    """Watch ``config/current`` on a connection of its own.

    Attributes:
        attempt: Number that the result has to carry.
        after_version: Only a higher version is of interest. 0 stands for a
            plain read.
        timeout_s: Seconds until the watch ends without a change.
        delay_s: Seconds to wait before the call.
    """

    attempt: int
    after_version: int
    timeout_s: float
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class PutConfigInForce:
    """Put a configuration in force and write the router's status at once.

    Attributes:
        stored: The configuration.
        value: Its encoded form, for peers that fetch it.
    """

    stored: stored_config.StoredConfig
    value: bytes


@dataclasses.dataclass(frozen=True)
class StartServing:
    """Serve callers from now on.

    Attributes:
        revision: Revision in force.
    """

    revision: int
