"""Times of recovery."""

from __future__ import annotations

from typing import NamedTuple


class RecoveryPolicy(NamedTuple):
    """Times of recovery.

    Attributes:
        takeover_s: Time after which the next router by rank takes over, if
            the one before it has not reported success.
        ranks: Routers that try at all. More would only read all accounts
            again; a death that none of them recovers keeps its grants.
        ask_again_s: Time without an answer after which a peer or a backend
            server is asked again.
        streams_s: Time after which a backend server is not waited for any
            longer and open runs on it are booked with their bound.
        death_window_s: Time before the confirmation of a death from which
            other deaths count: they may have taken a newer choice of journal
            peers along. A peer that died earlier was replaced by the writer
            while it lived.
    """

    rank_delay_s: float = 15.0
    max_recoverers: int = 3
    request_retry_s: float = 1.0
    streams_timeout_s: float = 5.0
    death_window_s: float = 300.0
