"""Effects of a run of ``apply``."""

from __future__ import annotations

import dataclasses

from jasminetally._config import apply_result


@dataclasses.dataclass(frozen=True)
class ReadConfig:
    """Read ``config/current``.

    Attributes:
        delay_s: Seconds to wait first.
    """

    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class WriteConfig:
    """Write ``config/current`` under a condition.

    Attributes:
        value: New content.
        expected_version: Version that it replaces; 0 to create the object.
    """

    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True)
class FinishRun:
    """End the run.

    Attributes:
        result: What became of the manifest.
    """

    result: apply_result.ApplyResult
