"""Settings of the dispatcher."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._routing import tier_policy

DEFAULT_TIERS = {
    "live": tier_policy.TierPolicy(rank=0),
    "standard": tier_policy.TierPolicy(rank=1, overload_slot_share=0.6),
    "overnight": tier_policy.TierPolicy(
        rank=3,
        ageing_step_s=120.0,
        slot_share=0.5,
        overload_slot_share=0.0,
        max_prefill_backlog_s=0.3,
    ),
}


class RoutingPolicy(NamedTuple):
    """Settings of the dispatcher.

    Attributes:
        router: Id of this router; selects its subset of the servers and
            identifies it to its peers.
        tiers: Routing properties of each tier, by name.
        default_slots: Requests that a server runs at once, if not configured.
        token_gap_s: Assumed seconds between the tokens of a request that runs
            alone; corrected by measurement.
        token_gap_per_request_s: Assumed increase of the gap for each further
            request in the batch.
        prefill_tokens_per_s: Assumed prompt tokens that a server processes in
            a second.
        service_time_s: Assumed seconds of a call to a plain service.
        late_start_grace_s: Time after its deadline, in seconds, until which an
            admitted request whose run failed may start again: a late answer is
            better than none.
        retry_ratio: Retry budget as a share of requests.
        min_retries: Retries allowed in a window regardless of the ratio;
            without it a router with few requests could not retry at all.
        retry_window_s: Length of the retry budget's window.
        max_resumes: Resumes without a new chunk before a stream is given up.
        resume_timeout_s: Timeout for the acknowledgement of a resume.
        resume_delay_s: Delay before the second resume; doubles each time.
        idle_timeout_s: Timeout between chunks of an attempt.
        reduced_idle_timeout_s: The same after another connection to the
            server went silent.
        acknowledgement_timeout_s: Timeout for the acknowledgement of a request
            by a server that acknowledges requests.
        first_chunk_timeout_s: Minimum timeout for the first chunk.
        service_timeout_s: Timeout for a call to a plain service.
        silence_window_s: Time after a connection went silent in which new
            attempts on its server use new connections.
        avoidance_s: Time for which a server gets no new requests after its
            first failure; doubles with each further failure.
        max_avoidance_s: Upper bound of that time.
        load_bound_ratio: Load of a server, relative to the mean, up to which
            prefix affinity may select it.
        subset_size: Number of servers of one model that this router uses.
        suspect_retry_s: Delay before a broadcast of suspicions, or the request
            to run a suspect, is repeated.
        suspect_ttl_s: Time for which a suspicion is kept.
        max_suspects: Maximum number of suspicions kept.
    """

    router: str = ""
    tiers: dict[str, tier_policy.TierPolicy] = DEFAULT_TIERS
    default_slots: int = 32
    token_gap_s: float = 0.012
    token_gap_per_request_s: float = 0.0005
    prefill_tokens_per_s: float = 8000.0
    service_time_s: float = 0.2
    late_start_grace_s: float = 8.0
    retry_ratio: float = 0.1
    min_retries: int = 10
    retry_window_s: float = 60.0
    max_resumes: int = 3
    resume_timeout_s: float = 1.0
    resume_delay_s: float = 0.2
    idle_timeout_s: float = 2.0
    reduced_idle_timeout_s: float = 0.5
    acknowledgement_timeout_s: float = 0.3
    first_chunk_timeout_s: float = 3.0
    service_timeout_s: float = 20.0
    silence_window_s: float = 5.0
    avoidance_s: float = 1.0
    max_avoidance_s: float = 30.0
    load_bound_ratio: float = 1.25
    subset_size: int = 64
    suspect_retry_s: float = 0.5
    suspect_ttl_s: float = 3600.0
    max_suspects: int = 10_000

    def tier(self, name: str) -> tier_policy.TierPolicy:
        """Return a tier's properties; an unknown tier gets the lowest rank."""
        found = self.tiers.get(name)
        if found is not None:
            return found
        return tier_policy.TierPolicy(
            rank=max((tier.rank for tier in self.tiers.values()), default=0)
        )
