"""Intervals, timeouts and limits of the instance view."""

from __future__ import annotations

from typing import NamedTuple


class ViewPolicy(NamedTuple):
    """Intervals, timeouts and limits of the instance view.

    Attributes:
        probe_period_s: Seconds between rounds of probes.
        probes_per_round: Number of probes in a round. It does not depend on
            the size of the fleet, so neither does the probe traffic.
        min_read_period_s: Least time in seconds between reads of the platform's
            list and the status objects.
        read_period_per_router_s: The time between reads is at least this, in
            seconds, times the number of other routers. About 150 bytes are
            read for each router, so 0.1 s limits the reads to 1.5 KB/s of the
            2 KB/s that control traffic may use.
        address_max_age_s: Seconds for which callers may cache the addresses.
        max_addresses: Largest number of addresses in a reply.
        dead_after_s: Seconds for which an instance must be neither listed nor
            reachable before its router is confirmed dead. A router that sent a
            message within this time is not declared dead on the report of
            another router.
        min_failed_probes: Least number of failed probes for a confirmation.
        max_list_gap_periods: Longest time between two results of the list, in
            read periods, over which a missing instance counts as not listed.
            After a longer gap the time starts again, because it is unknown
            what was listed in the meantime.
        evidence_max_age_s: Seconds for which evidence of another router is
            valid.
        max_deaths: Largest number of acknowledged deaths in the status object.
        incarnation_retention_s: Seconds for which the newest incarnation of an
            instance without a status object is remembered.
    """

    probe_period_s: float = 1.0
    probes_per_round: int = 2
    min_read_period_s: float = 5.0
    read_period_per_router_s: float = 0.1
    address_max_age_s: float = 10.0
    max_addresses: int = 16
    dead_after_s: float = 10.0
    min_failed_probes: int = 3
    max_list_gap_periods: float = 2.4
    evidence_max_age_s: float = 10.0
    max_deaths: int = 64
    incarnation_retention_s: float = 3600.0
