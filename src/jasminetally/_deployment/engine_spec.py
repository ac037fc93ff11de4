"""Properties of a service's model engines."""

from __future__ import annotations

from typing import NamedTuple


class EngineSpec(NamedTuple):
    """Properties that all engines of a service share.

    Attributes:
        slots: Requests that an engine runs at once.
        kv_capacity_tokens: Tokens that fit into an engine's memory.
        max_tokens_per_event: Largest number of tokens in one event of a stream.
    """

    slots: int
    kv_capacity_tokens: int
    max_tokens_per_event: int
