"""Specification of a service's model engines."""

from __future__ import annotations

from typing import NamedTuple


class EngineSpec(NamedTuple):
    """Properties that all model engines of a service share.

    Attributes:
        slots: Requests that an engine runs concurrently.
        kv_capacity_tokens: Tokens that fit into an engine's KV cache.
        max_tokens_per_event: Most tokens that one event of a stream carries.
    """

    slots: int
    kv_capacity_tokens: int
    max_tokens_per_event: int
