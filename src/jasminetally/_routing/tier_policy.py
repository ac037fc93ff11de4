"""Routing properties of a tier."""

from __future__ import annotations

import math
from typing import NamedTuple


class TierPolicy(NamedTuple):
    """Priority and ageing of a service tier.

    Attributes:
        rank: Lower ranks go first; 0 is the most urgent live tier.
        ageing_s: Seconds of waiting that raise a request by one rank; 0 for
            no ageing.
        slot_share: Share of a server's slots that the tier may fill, so that
            live requests find a slot without a wait.
        pressed_share: The same while more urgent requests are refused.
        unread_s: Seconds of prompts waiting on a server beyond which the tier
            starts nothing more there; prompts delay all tokens of a batch.
    """

    rank: int
    ageing_step_s: float = 0.0
    slot_share: float = 1.0
    overload_slot_share: float = 1.0
    max_prefill_backlog_s: float = math.inf
