"""Requests that wait for a server."""

from __future__ import annotations

import bisect
import heapq
import itertools
from typing import TYPE_CHECKING

from jasminetally._routing import recent_refusals

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jasminetally._routing import request_record
    from jasminetally._routing import routing_policy

Group = tuple[str, str]

# Requests of one tier examined for each free slot. More than one is needed,
# because some may not start yet: crash suspects, and retries without budget.
MAX_SCANNED_PER_TIER = 16


class RequestQueue:
    """Orders waiting requests by rank, then by deadline or arrival.

    Within a tier the request with the earliest deadline comes first; in a
    tier with ageing, the one that arrived first, because it has aged most.
    """

    def __init__(self, policy: routing_policy.RoutingPolicy) -> None:
        self.recent_refusals = recent_refusals.RecentRefusals()
        self._policy = policy
        self._sequence = itertools.count()
        self._waiting: dict[
            Group,
            dict[str, list[tuple[float, int, request_record.RequestRecord]]],
        ] = {}
        self._keys: dict[str, tuple[float, int, float]] = {}
        self._work_s: dict[tuple[Group, str], float] = {}
        self._crashed_first: dict[
            Group, dict[str, request_record.RequestRecord]
        ] = {}
        self._latest_starts: list[
            tuple[float, int, request_record.RequestRecord]
        ] = []

    def __len__(self) -> int:
        return len(self._keys)

    def groups(self) -> list[Group]:
        """Return the server groups (kind and model) with waiting requests."""
        return list(self._waiting)

    def push(
        self,
        record: request_record.RequestRecord,
        *,
        work_s: float,
        latest_start_s: float,
    ) -> None:
        """Add a request to the queue.

        Args:
            record: Request.
            work_s: Expected seconds for which it will occupy a slot.
            latest_start_s: Latest start with which it can still finish in
                time, in seconds.
        """
        spec = record.spec
        ages = self._policy.tier(spec.tier).ageing_step_s > 0
        key = spec.arrived_s if ages else spec.deadline_s
        number = next(self._sequence)
        tiers = self._waiting.setdefault(record.group, {})
        bisect.insort(tiers.setdefault(spec.tier, []), (key, number, record))
        self._keys[spec.request] = (key, number, work_s)
        if record.run_before_crash_s is not None:
            crashed = self._crashed_first.setdefault(record.group, {})
            crashed[spec.request] = record
        group_tier = (record.group, spec.tier)
        self._work_s[group_tier] = self._work_s.get(group_tier, 0.0) + work_s
        record.latest_start_s = latest_start_s
        heapq.heappush(self._latest_starts, (latest_start_s, number, record))

    def remove(self, record: request_record.RequestRecord) -> None:
        """Remove a request from the queue."""
        key, number, work_s = self._keys.pop(record.spec.request)
        tier = record.spec.tier
        tiers = self._waiting[record.group]
        waiting = tiers[tier]
        del waiting[bisect.bisect_left(waiting, (key, number))]
        self._work_s[record.group, tier] -= work_s
        self._crashed_first.get(record.group, {}).pop(record.spec.request, None)
        if waiting:
            return
        del tiers[tier]
        del self._work_s[record.group, tier]
        if not tiers:
            del self._waiting[record.group]

    def candidates(
        self, group: Group, now_s: float
    ) -> list[request_record.RequestRecord]:
        """Return the next requests of a group, the most urgent first.

        Requests whose server crashed precede all others, ordered by the time
        that they had run before the crash: the one with the shortest run is
        the most likely cause, and once it is identified the others are cleared.
        """
        tiers = self._waiting.get(group, {})
        found = list(
            itertools.chain.from_iterable(
                waiting[:MAX_SCANNED_PER_TIER] for waiting in tiers.values()
            )
        )
        found.sort(
            key=lambda item: (self.effective_rank(item[2], now_s), *item[:2])
        )
        crashed = self._crashed_first.get(group)
        if not crashed:
            return [record for _, _, record in found]
        first = sorted(
            crashed.values(),
            key=lambda record: (record.run_before_crash_s, record.spec.request),
        )
        return first + [
            record
            for _, _, record in found
            if record.spec.request not in crashed
        ]

    def effective_rank(
        self, record: request_record.RequestRecord, now_s: float
    ) -> float:
        """Return the rank of a request after ageing; lower goes first.

        Ageing stops at 0.5, between the most urgent live tier (0) and all
        others, so that aged overnight requests never delay that tier but
        precede the rest.
        """
        tier = self._policy.tier(record.spec.tier)
        if record.may_have_run:
            # It was admitted and started; then its server or connection failed.
            return 0.0
        if tier.ageing_step_s <= 0:
            return tier.rank
        waited_s = now_s - record.spec.arrived_s
        if waited_s > record.latest_start_s - now_s:
            # More than half of its time between arrival and latest start has
            # passed.
            return min(tier.rank, 0.5)
        steps = waited_s // tier.ageing_step_s
        return max(min(tier.rank, 0.5), tier.rank - steps)

    def slot_share(
        self, record: request_record.RequestRecord, now_s: float
    ) -> float:
        """Return the share of a server's slots that a request may use.

        It may use all slots if it has aged or runs again after a failure.
        """
        tier = self._policy.tier(record.spec.tier)
        aged = (
            tier.ageing_step_s > 0 and self.effective_rank(record, now_s) < 1.0
        )
        if aged or record.may_have_run:
            return 1.0
        if self.recent_refusals.higher_priority_refused(
            record.group, tier.rank, now_s
        ):
            return tier.overload_slot_share
        return tier.slot_share

    def work_ahead_s(
        self, record: request_record.RequestRecord, now_s: float
    ) -> float:
        """Return the expected slot seconds of the requests ahead."""
        own_rank = self.effective_rank(record, now_s)
        total_s = 0.0
        for tier, waiting in self._waiting.get(record.group, {}).items():
            if self.effective_rank(waiting[0][2], now_s) < own_rank:
                total_s += self._work_s[record.group, tier]
            elif tier == record.spec.tier:
                total_s += self._ahead_in_tier_s(waiting, record)
        return total_s

    def pop_expired(
        self, now_s: float
    ) -> Iterator[request_record.RequestRecord]:
        """Yield the requests whose latest start has passed.

        They stay in the queue: the calling code removes each of them or sets a
        new latest start.
        """
        while self._latest_starts and self._latest_starts[0][0] <= now_s:
            _, number, record = heapq.heappop(self._latest_starts)
            entry = self._keys.get(record.spec.request)
            if entry is not None and entry[1] == number:
                yield record

    def set_latest_start(
        self, record: request_record.RequestRecord, latest_start_s: float
    ) -> None:
        """Set a new latest start for a waiting request."""
        number = self._keys[record.spec.request][1]
        record.latest_start_s = latest_start_s
        heapq.heappush(self._latest_starts, (latest_start_s, number, record))

    def _ahead_in_tier_s(
        self,
        waiting: list[tuple[float, int, request_record.RequestRecord]],
        record: request_record.RequestRecord,
    ) -> float:
        entry = self._keys.get(record.spec.request)
        if entry is None:
            return self._work_s[record.group, record.spec.tier]
        ahead = bisect.bisect_left(waiting, entry[:2])
        tier_work_s = self._work_s[record.group, record.spec.tier]
        return tier_work_s * ahead / len(waiting)
