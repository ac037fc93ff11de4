"""Times and counts of the instance view."""

from __future__ import annotations

from typing import NamedTuple


class ViewPolicy(NamedTuple):
    """Times and counts of the instance view.

    Attributes:
        probe_period_s: Seconds between rounds of probes.
        probe_count: Probes in a round, whatever the size of the fleet.
        read_period_s: Least time in seconds between reads of the status
            objects and of the list.
        read_period_per_router_s: Seconds that each router of the fleet adds
            at least. About 150 bytes are read for each router, so 0.1 s keep
            these reads under 1.5 KB/s, of the 2 KB/s that control may take.
        address_max_age_s: Seconds that a caller may keep the addresses.
        address_count: Most addresses in one answer.
        dead_after_s: Seconds without a listing and without an answered probe
            that confirm a death (evidence E2).
        probes_for_death: Least number of failed probes in that time.
        list_gap_periods: Longest pause between two results from the list, in
            periods of reads, over which an instance counts as not listed.
            After a longer one the count starts again, as nobody knows what
            the list named.
        witness_max_age_s: Seconds that another router's evidence stays good.
        deaths_limit: Acknowledged deaths kept in the status object.
        forget_after_s: Seconds that the newest incarnation of an instance
            without a status object is remembered.
    """

    probe_period_s: float = 1.0
    probe_count: int = 2
    read_period_s: float = 5.0
    read_period_per_router_s: float = 0.1
    address_max_age_s: float = 10.0
    address_count: int = 16
    dead_after_s: float = 10.0
    probes_for_death: int = 3
    list_gap_periods: float = 2.4
    witness_max_age_s: float = 10.0
    deaths_limit: int = 64
    forget_after_s: float = 3600.0
