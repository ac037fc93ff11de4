"""Time limits of recovery and number of routers that take part."""

from __future__ import annotations

from typing import NamedTuple


class RecoveryPolicy(NamedTuple):
    """Time limits of recovery and number of routers that take part.

    Attributes:
        rank_delay_s: Delay between the starts of the routers of two
            successive ranks; once one reports success, the others don't
            start.
        max_recoverers: Number of routers that try to recover a death. More
            would only read all account records again. If none of them
            succeeds, the grants of the dead router stay open.
        request_retry_s: Time without a reply after which a peer or a backend
            server is asked again.
        streams_timeout_s: Time to wait for backend servers to cancel streams;
            after it, open runs of servers that did not reply are booked with
            their reserved bound.
        death_window_s: Time before the confirmation of a death from which
            other deaths count. The routers that died in it may have been the
            only ones to know a newer set of journal peers; a peer that died
            earlier was replaced by the writer while the writer was alive.
    """

    rank_delay_s: float = 15.0
    max_recoverers: int = 3
    request_retry_s: float = 1.0
    streams_timeout_s: float = 5.0
    death_window_s: float = 300.0
