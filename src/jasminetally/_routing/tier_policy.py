"""Routing properties of a tier."""

from __future__ import annotations

import math
from typing import NamedTuple


class TierPolicy(NamedTuple):
    """Priority, ageing and slot limits of a service tier.

    Attributes:
        rank: Priority; lower ranks go first, 0 is the most urgent live tier.
        ageing_step_s: Seconds of waiting that improve the rank of a request
            by one; 0 for no ageing.
        slot_share: Share of a server's slots that the tier may use; the rest
            lets live requests start without waiting.
        overload_slot_share: The same while requests of more urgent tiers are
            being refused.
        max_prefill_backlog_s: Prefill backlog of a server, in seconds, above
            which the tier starts no more requests there: prefill delays all
            tokens of the batch.
    """

    rank: int
    ageing_step_s: float = 0.0
    slot_share: float = 1.0
    overload_slot_share: float = 1.0
    max_prefill_backlog_s: float = math.inf
