"""Effects of a run of ``apply``, carried out by its caller."""

from __future__ import annotations

import dataclasses

from jasminetally._config import apply_result


@dataclasses.dataclass(frozen=True)
class ReadConfig:
    """Read the platform object ``config/current``.

    Attributes:
        delay_s: Seconds to wait before the read.
    """

    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class WriteConfig:
    """Write ``config/current`` by a conditional create or update.

    Attributes:
        value: New content.
        expected_version: Version of the object that the write replaces; 0 if
            the write has to create the object.
    """

    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True)
class FinishRun:
    """End the run.

    Attributes:
        result: Result to report to the operator.
    """

    result: apply_result.ApplyResult
