"""View of the routers and of the platform's list at one router."""

from __future__ import annotations

from collections.abc import Iterator
import random

from jasminetally._membership import acknowledged_deaths
from jasminetally._membership import addresses
from jasminetally._membership import death_effects
from jasminetally._membership import evidence as evidence_module
from jasminetally._membership import incarnation as incarnations
from jasminetally._membership import instance_list
from jasminetally._membership import list_events
from jasminetally._membership import member as member_module
from jasminetally._membership import newest_incarnations
from jasminetally._membership import peer_evidence
from jasminetally._membership import probe_events
from jasminetally._membership import router_state
from jasminetally._membership import router_status
from jasminetally._membership import status_events
from jasminetally._membership import view_effects
from jasminetally._membership import view_messages
from jasminetally._membership import view_policy
from jasminetally._membership import view_schedule

_READY = router_state.RouterState.READY


class InstanceView:
    """Merges the lagging list, the status objects and probes.

    The list alone is late, a status object alone outlives its router, and a
    probe alone can't tell a dead router from a partitioned one.
    """

    def __init__(
        self,
        *,
        own: router_status.RouterStatus,
        policy: view_policy.ViewPolicy,
        rng: random.Random,
    ) -> None:
        """Prepare an empty view.

        Args:
            own: Status of this router, with its incarnation.
            policy: Times and counts.
            rng: Source of the random choices.
        """
        self.own_state = own.state
        self._own = own
        self._policy = policy
        self._rng = rng
        self._schedule = view_schedule.ViewSchedule(policy)
        self._instance_list = instance_list.InstanceList(
            max_gap_s=self._schedule.max_list_gap_s(routers=0)
        )
        self._members: dict[str, member_module.Member] = {}
        self._newest = newest_incarnations.NewestIncarnations()
        self._deaths = acknowledged_deaths.AcknowledgedDeaths(
            max_size=policy.max_deaths
        )
        self._peer_evidence = peer_evidence.PeerEvidence(policy)

    @property
    def deaths(self) -> tuple[str, ...]:
        """Acknowledged deaths, for this router's status object."""
        return self._deaths.incarnations

    def is_dead(self, incarnation: str) -> bool:
        """Return whether messages of an incarnation are to be refused."""
        return incarnation in self._deaths

    def routers(self) -> dict[str, router_status.RouterStatus]:
        """Return the other routers that exist, by instance.

        Partitioned and paused ones are among them; dead ones are not.
        """
        return {
            name: found.status
            for name, found in self._members.items()
            if found.status.incarnation not in self._deaths
        }

    def missing_acknowledgements(self, incarnation: str) -> tuple[str, ...]:
        """Return the other routers that have not acknowledged a death."""
        return tuple(
            name
            for name, status in sorted(self.routers().items())
            if incarnation not in status.deaths
            and status.incarnation != incarnation
        )

    def addresses(self) -> addresses.Addresses:
        """Return addresses of ready routers, own data centre first."""
        near, far = [], []
        if self.own_state is _READY:
            near.append(self._own.http_address)
        for name in sorted(self._members):
            if self._accepts_callers(name):
                status = self._members[name].status
                same = status.data_centre == self._own.data_centre
                (near if same else far).append(status.http_address)
        # Callers would otherwise all connect to the first one.
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        count = self._policy.max_addresses
        return addresses.Addresses(
            tuple((near + far)[:count]), self._policy.address_max_age_s
        )

    def own_evidence(self) -> tuple[evidence_module.Evidence, ...]:
        """Return own observations of silent routers, for outgoing messages."""
        return tuple(
            self._members[name].make_evidence(
                self._instance_list.unlisted_s(name)
            )
            for name in sorted(self._members)
            if self._instance_list.unlisted_s(name)
            and self._members[name].failed_probes
        )

    def handle(
        self, event: view_messages.Event, now_s: float
    ) -> list[view_messages.Effect]:
        """Take an event and return what has to be done."""
        effects: list[view_messages.Effect] = []
        match event:
            case list_events.ListRead(entries):
                changed = self._instance_list.replace_entries(
                    entries, self._members, now_s
                )
                effects += self._report_leaving(changed)
            case list_events.ListEntryChanged(instance, entry):
                changed = self._instance_list.update_entry(
                    instance, entry, now_s
                )
                effects += self._report_leaving(changed)
            case list_events.ListUnchanged():
                self._instance_list.record_unchanged(now_s)
            case status_events.StatusesRead(statuses):
                effects += self._on_statuses(statuses, now_s)
            case status_events.StatusReceived(status):
                effects += self._on_status(status, now_s)
            case status_events.StatusDeleted(instance):
                self._members.pop(instance, None)
                self._newest.record_drained(instance)
            case probe_events.PeerMessageReceived(incarnation, state):
                self._on_peer_message(incarnation, state, now_s)
            case probe_events.ProbeFailed(instance):
                if instance in self._members:
                    self._members[instance].record_probe_failure(now_s)
            case probe_events.EvidenceReceived(reporter, evidence):
                if reporter != self._own.instance:
                    self._peer_evidence.record(reporter, evidence, now_s)
        return [*effects, *self._confirm_unreachable(now_s)]

    def tick(self, now_s: float) -> list[view_messages.Effect]:
        """Return the probes and reads that are due."""
        effects: list[view_messages.Effect] = []
        if self._schedule.is_probe_due(now_s):
            effects += self._choose_probes()
        routers = len(self._members)
        if self._schedule.is_read_due(now_s, routers=routers):
            self._instance_list.max_gap_s = self._schedule.max_list_gap_s(
                routers=routers
            )
            effects.append(view_effects.ReadMembers())
        return effects

    def _choose_probes(self) -> Iterator[view_messages.Effect]:
        """Choose the peers to probe.

        One of the probes goes to a router that the list doesn't name, if
        there is one, so that evidence of a death comes in at the same cost.
        """
        routers = self.routers()
        chosen: list[str] = []
        silent = [n for n in routers if self._instance_list.unlisted_s(n)]
        if silent:
            failed_s = {n: self._members[n].last_failed_s or 0 for n in silent}
            chosen.append(min(silent, key=failed_s.__getitem__))
        others = sorted(set(routers) - set(chosen))
        count = min(len(others), self._policy.probes_per_round - len(chosen))
        chosen += self._rng.sample(others, count)
        for name in chosen:
            yield view_effects.ProbePeer(name, routers[name].peer_address)

    def _accepts_callers(self, name: str) -> bool:
        found = self._members[name]
        if found.state is not _READY or found.failed_probes >= 2:
            return False
        if found.status.incarnation in self._deaths:
            return False
        listed = self._instance_list.get(name)
        if listed is not None:
            return listed.state == "live"
        # Not listed: new and the list lags, or gone and the object remains.
        return found.last_message_s is not None

    def _on_statuses(
        self, statuses: tuple[router_status.RouterStatus, ...], now_s: float
    ) -> Iterator[view_messages.Effect]:
        named = {status.instance for status in statuses}
        for name in [name for name in self._members if name not in named]:
            del self._members[name]
        for status in statuses:
            yield from self._on_status(status, now_s)
        self._newest.discard_old(
            kept=self._members,
            before_s=now_s - self._policy.incarnation_retention_s,
        )

    def _on_status(
        self, status: router_status.RouterStatus, now_s: float
    ) -> Iterator[view_messages.Effect]:
        if status.instance == self._own.instance:
            if incarnations.is_newer(status.incarnation, self._own.incarnation):
                yield death_effects.StopSuperseded(
                    f"{status.incarnation} has replaced this process"
                )
            return
        if self._newest.is_replaced(status.incarnation):
            return
        replaced = self._newest.record(status.incarnation, now_s)
        if replaced is not None:
            # Evidence E1: the new process has bound the same addresses.
            yield from self._deaths.add(
                replaced, f"{status.incarnation} has replaced it"
            )
        self._update_member(status)
        for incarnation in status.deaths:
            yield from self._on_reported_death(
                incarnation, status.instance, now_s
            )

    def _update_member(self, status: router_status.RouterStatus) -> None:
        found = self._members.get(status.instance)
        if found is None or found.status.incarnation != status.incarnation:
            found = member_module.Member(status, status.state)
            self._members[status.instance] = found
        found.status = status
        if found.state is not router_state.RouterState.DRAINING:
            found.state = status.state

    def _on_peer_message(
        self,
        incarnation: str,
        state: router_state.RouterState,
        now_s: float,
    ) -> None:
        found = self._members.get(incarnations.instance_of(incarnation))
        if found is not None and found.status.incarnation == incarnation:
            found.record_message(state, now_s)

    def _on_reported_death(
        self, incarnation: str, reporter: str, now_s: float
    ) -> Iterator[view_messages.Effect]:
        if incarnation == self._own.incarnation:
            yield death_effects.StopSuperseded(
                f"{reporter} has acknowledged the death of this process"
            )
            return
        if self._newest.is_replaced(incarnation) or self._is_death_plausible(
            incarnation, now_s
        ):
            yield from self._deaths.add(
                incarnation, f"{reporter} has acknowledged it"
            )

    def _is_death_plausible(self, incarnation: str, now_s: float) -> bool:
        """Return whether nothing here speaks against a reported death."""
        name = incarnations.instance_of(incarnation)
        if (
            not self._instance_list.has_been_read
            or self._instance_list.get(name) is not None
        ):
            return False
        found = self._members.get(name)
        if found is None or found.last_message_s is None:
            return True
        return now_s - found.last_message_s >= self._policy.dead_after_s

    def _confirm_unreachable(
        self, now_s: float
    ) -> Iterator[view_messages.Effect]:
        """Confirm deaths by evidence E2."""
        for name in sorted(self.routers()):
            if not self._instance_list.unlisted_s(name):
                continue
            own = self._members[name].make_evidence(
                self._instance_list.unlisted_s(name)
            )
            if not self._peer_evidence.is_sufficient(own):
                continue
            reporter = self._peer_evidence.find_reporter(own.incarnation, now_s)
            if reporter is not None:
                yield from self._deaths.add(
                    own.incarnation,
                    f"not listed for {own.unlisted_s:.0f} s and not reached "
                    f"by this router and by {reporter}",
                )

    def _report_leaving(
        self, changed: list[str]
    ) -> Iterator[view_messages.Effect]:
        for name in changed:
            yield death_effects.InstanceLeaving(
                name, self._instance_list.get(name) is not None
            )
