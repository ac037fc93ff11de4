"""Events about requests, and the clock tick."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import request_spec


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A caller sent a request, for which tokens have been reserved."""

    spec: request_spec.RequestSpec


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; sent about every 50 ms."""
