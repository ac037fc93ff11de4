"""Effects of the revision tracker on the platform and its own router."""

from __future__ import annotations

import dataclasses

from jasminetally._config import stored_config


@dataclasses.dataclass(frozen=True)
class WatchConfig:
    """Watch the platform object ``config/current`` on a separate connection.

    Attributes:
        attempt: Number of the watch; its result has to carry it.
        after_version: The watch returns a version of the object above this
            one. 0 stands for a plain read.
        timeout_s: Seconds after which the watch ends without a change.
        delay_s: Seconds to wait before the call.
    """

    attempt: int
    after_version: int
    timeout_s: float
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class PutConfigInForce:
    """Put a configuration in force and report it in the router's status.

    The status object is written at once, because ``apply`` waits for it.

    Attributes:
        stored: Configuration.
        value: Its encoded form, for peers that fetch it.
    """

    stored: stored_config.StoredConfig
    value: bytes


@dataclasses.dataclass(frozen=True)
class StartServing:
    """Start to accept requests from callers.

    Attributes:
        revision: Revision in force.
    """

    revision: int
