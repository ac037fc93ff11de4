"""Times and counts of the instance view."""

from __future__ import annotations

from typing import NamedTuple


class ViewPolicy(NamedTuple):
    """Times and counts of the instance view.

    Attributes:
        probe_period_s: Seconds between rounds of probes.
        probes_per_round: Probes in a round, whatever the size of the fleet.
        min_read_period_s: Least time in seconds between reads of the status
            objects and of the list.
        read_period_per_router_s: Seconds that each router of the fleet adds
            at least. About 150 bytes are read for each router, so 0.1 s keep
            these reads under 1.5 KB/s, of the 2 KB/s that control may take.
        address_max_age_s: Seconds that a caller may keep the addresses.
        max_addresses: Most addresses in one answer.
        dead_after_s: Seconds without a listing and without an answered probe
            that confirm a death (evidence E2).
        min_failed_probes: Least number of failed probes in that time.
        max_list_gap_periods: Longest pause between two results from the list, in
            periods of reads, over which an instance counts as not listed.
            After a longer one the count starts again, as nobody knows what
            the list named.
        evidence_max_age_s: Seconds that another router's evidence stays good.
        max_deaths: Acknowledged deaths kept in the status object.
        incarnation_retention_s: Seconds that the newest incarnation of an instance
            without a status object is remembered.
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
