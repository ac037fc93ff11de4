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

# Requests of one tier that are examined for each free slot. Those that may
# not start yet (crash suspects, retries without budget) are passed over.
MAX_SCANNED_PER_TIER = 16


class RequestQueue:
    """Orders waiting requests by tier, age and deadline.

    Within a tier the earliest deadline goes first; in a tier that ages the
    earliest arrival does, because it has aged most.
    """

    def __init__(self, policy: routing_policy.RoutingPolicy) -> None:
        self.recent_refusals = recent_refusals.RecentRefusals()
        self._policy = policy
        self._numbers = itertools.count()
        self._lists: dict[
            Group,
            dict[str, list[tuple[float, int, request_record.RequestRecord]]],
        ] = {}
        self._keys: dict[str, tuple[float, int, float]] = {}
        self._work_s: dict[tuple[Group, str], float] = {}
        self._crashed_first: dict[
            Group, dict[str, request_record.RequestRecord]
        ] = {}
        self._latest: list[tuple[float, int, request_record.RequestRecord]] = []

    def __len__(self) -> int:
        return len(self._keys)

    def groups(self) -> list[Group]:
        """Return the groups of servers for which requests wait."""
        return list(self._lists)

    def push(
        self,
        record: request_record.RequestRecord,
        *,
        work_s: float,
        latest_start_s: float,
    ) -> None:
        """Add a request.

        Args:
            record: Request.
            work_s: Seconds for which it is expected to occupy a slot.
            latest_start_s: Time after which it can no longer finish in time.
        """
        spec = record.spec
        ages = self._policy.tier(spec.tier).ageing_step_s > 0
        key = spec.arrived_s if ages else spec.deadline_s
        number = next(self._numbers)
        tiers = self._lists.setdefault(record.group, {})
        bisect.insort(tiers.setdefault(spec.tier, []), (key, number, record))
        self._keys[spec.request] = (key, number, work_s)
        if record.run_before_crash_s is not None:
            crashed = self._crashed_first.setdefault(record.group, {})
            crashed[spec.request] = record
        place = (record.group, spec.tier)
        self._work_s[place] = self._work_s.get(place, 0.0) + work_s
        record.latest_start_s = latest_start_s
        heapq.heappush(self._latest, (latest_start_s, number, record))

    def remove(self, record: request_record.RequestRecord) -> None:
        """Remove a request."""
        key, number, work_s = self._keys.pop(record.spec.request)
        tier = record.spec.tier
        tiers = self._lists[record.group]
        waiting = tiers[tier]
        del waiting[bisect.bisect_left(waiting, (key, number))]
        self._work_s[record.group, tier] -= work_s
        self._crashed_first.get(record.group, {}).pop(record.spec.request, None)
        if waiting:
            return
        del tiers[tier]
        del self._work_s[record.group, tier]
        if not tiers:
            del self._lists[record.group]

    def candidates(
        self, group: Group, now_s: float
    ) -> list[request_record.RequestRecord]:
        """Return the next requests of a group, the most urgent first.

        Requests whose server crashed go before all others, and of these the
        one that had run for the shortest time: it most likely is the cause,
        and the others are free when it is found.
        """
        tiers = self._lists.get(group, {})
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

        Ageing stops just above the most urgent live tier, so that overnight
        work never delays it but passes all others.
        """
        tier = self._policy.tier(record.spec.tier)
        if record.may_have_run:
            # Accepted earlier; its server or connection failed.
            return 0.0
        if tier.ageing_step_s <= 0:
            return tier.rank
        waited_s = now_s - record.spec.arrived_s
        if waited_s > record.latest_start_s - now_s:
            # More than half of the time that it could wait has passed.
            return min(tier.rank, 0.5)
        steps = waited_s // tier.ageing_step_s
        return max(min(tier.rank, 0.5), tier.rank - steps)

    def slot_share(
        self, record: request_record.RequestRecord, now_s: float
    ) -> float:
        """Return the share of slots open to a request.

        All slots are open when it has aged or runs again after a failure.
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
        """Return the slot seconds that wait ahead of a request."""
        own = self.effective_rank(record, now_s)
        total_s = 0.0
        for tier, waiting in self._lists.get(record.group, {}).items():
            if self.effective_rank(waiting[0][2], now_s) < own:
                total_s += self._work_s[record.group, tier]
            elif tier == record.spec.tier:
                total_s += self._ahead_in_tier_s(waiting, record)
        return total_s

    def pop_expired(
        self, now_s: float
    ) -> Iterator[request_record.RequestRecord]:
        """Yield the requests whose latest start has passed.

        They stay in the queue; the caller removes them or watches them again.
        """
        while self._latest and self._latest[0][0] <= now_s:
            _, number, record = heapq.heappop(self._latest)
            kept = self._keys.get(record.spec.request)
            if kept is not None and kept[1] == number:
                yield record

    def set_latest_start(
        self, record: request_record.RequestRecord, latest_start_s: float
    ) -> None:
        """Set a new latest start."""
        number = self._keys[record.spec.request][1]
        record.latest_start_s = latest_start_s
        heapq.heappush(self._latest, (latest_start_s, number, record))

    def _ahead_in_tier_s(
        self,
        waiting: list[tuple[float, int, request_record.RequestRecord]],
        record: request_record.RequestRecord,
    ) -> float:
        kept = self._keys.get(record.spec.request)
        if kept is None:
            return self._work_s[record.group, record.spec.tier]
        ahead = bisect.bisect_left(waiting, kept[:2])
        whole_s = self._work_s[record.group, record.spec.tier]
        return whole_s * ahead / len(waiting)
