"""A router's view of the other routers and of the platform's list."""

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

# Number of routers without a known status object whose state is remembered. The
# newest are kept; the states of others follow with their next message.
MAX_EARLY_STATES = 512

_READY = router_state.RouterState.READY


class InstanceView:
    """Combines the platform's list, the status objects and probes.

    None of them suffices alone: the list lags, a status object remains after
    the death of its router, and a failed probe does not distinguish a dead
    router from a partitioned one.

    Attributes:
        own_state: State of this router, set by the caller.
    """

    def __init__(
        self,
        *,
        own: router_status.RouterStatus,
        policy: view_policy.ViewPolicy,
        rng: random.Random,
    ) -> None:
        """Create an empty view.

        Args:
            own: Status of this router, with its incarnation.
            policy: Intervals, timeouts and limits.
            rng: Random source for the choice of peers and the order of
                addresses.
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
        # States from messages of routers whose status objects are not read yet.
        # The read that follows may return an older state.
        self._early_states: dict[str, router_state.RouterState] = {}
        self._newest = newest_incarnations.NewestIncarnations()
        self._deaths = acknowledged_deaths.AcknowledgedDeaths(
            max_size=policy.max_deaths
        )
        self._peer_evidence = peer_evidence.PeerEvidence(policy)

    @property
    def deaths(self) -> tuple[str, ...]:
        """Acknowledged deaths, to be published in the own status object."""
        return self._deaths.incarnations

    def is_dead(self, incarnation: str) -> bool:
        """Return whether a death is confirmed, so that messages are refused."""
        return incarnation in self._deaths

    def routers(self) -> dict[str, router_status.RouterStatus]:
        """Return the statuses of the other routers by instance.

        Includes partitioned and paused routers, but none that are confirmed
        dead.
        """
        return {
            name: member.status
            for name, member in self._members.items()
            if member.status.incarnation not in self._deaths
        }

    def missing_acknowledgements(self, incarnation: str) -> tuple[str, ...]:
        """Return the other instances that have not acknowledged a death."""
        return tuple(
            name
            for name, status in sorted(self.routers().items())
            if incarnation not in status.deaths
            and status.incarnation != incarnation
        )

    def addresses(self) -> addresses.Addresses:
        """Return the addresses of ready routers, own data centre first."""
        local, remote = [], []
        if self.own_state is _READY:
            local.append(self._own.http_address)
        for name in sorted(self._members):
            if self._accepts_callers(name):
                status = self._members[name].status
                is_local = status.data_centre == self._own.data_centre
                (local if is_local else remote).append(status.http_address)
        # Shuffled so that callers do not all connect to the same router.
        self._rng.shuffle(local)
        self._rng.shuffle(remote)
        count = self._policy.max_addresses
        return addresses.Addresses(
            tuple((local + remote)[:count]), self._policy.address_max_age_s
        )

    def own_evidence(self) -> tuple[evidence_module.Evidence, ...]:
        """Return own evidence of deaths, to be sent to other routers."""
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
        """Process an event.

        Args:
            event: Event to process.
            now_s: Monotonic time in seconds.

        Returns:
            The effects to carry out.
        """
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
        """Choose the peers to probe in a round.

        If routers are not listed, one of the probes is sent to the one whose
        last failed probe is the oldest or missing, so that evidence of deaths
        is collected without additional probes. The others are chosen at random.
        """
        routers = self.routers()
        chosen: list[str] = []
        unlisted = [n for n in routers if self._instance_list.unlisted_s(n)]
        if unlisted:
            failed_s = {
                n: self._members[n].last_failed_s or 0 for n in unlisted
            }
            chosen.append(min(unlisted, key=failed_s.__getitem__))
        others = sorted(set(routers) - set(chosen))
        count = min(len(others), self._policy.probes_per_round - len(chosen))
        chosen += self._rng.sample(others, count)
        for name in chosen:
            yield view_effects.ProbePeer(name, routers[name].peer_address)

    def _accepts_callers(self, name: str) -> bool:
        member = self._members[name]
        if member.state is not _READY or member.failed_probes >= 2:
            return False
        if member.status.incarnation in self._deaths:
            return False
        listed = self._instance_list.get(name)
        if listed is not None:
            return listed.state == "live"
        # A router that is not listed is either new, as the list lags, or gone
        # with its status object left. Only a new one has sent a message.
        return member.last_message_s is not None

    def _on_statuses(
        self, statuses: tuple[router_status.RouterStatus, ...], now_s: float
    ) -> Iterator[view_messages.Effect]:
        instances = {status.instance for status in statuses}
        for name in [name for name in self._members if name not in instances]:
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
                    f"newer incarnation {status.incarnation} has replaced this "
                    "process"
                )
            return
        if self._newest.is_replaced(status.incarnation):
            return
        replaced = self._newest.record(status.incarnation, now_s)
        if replaced is not None:
            # The new process has bound the same addresses, so the previous one
            # has ended (rule E1 in section 4.5 of docs/design.md).
            yield from self._deaths.add(
                replaced,
                f"newer incarnation {status.incarnation} has replaced it",
            )
        self._update_member(status)
        for incarnation in status.deaths:
            yield from self._on_reported_death(
                incarnation, status.instance, now_s
            )

    def _update_member(self, status: router_status.RouterStatus) -> None:
        member = self._members.get(status.instance)
        if member is None or member.status.incarnation != status.incarnation:
            member = member_module.Member(status, status.state)
            self._members[status.instance] = member
            early_state = self._early_states.pop(status.incarnation, None)
            if early_state is not None:
                member.advance_state(early_state)
        member.status = status
        member.advance_state(status.state)

    def _on_peer_message(
        self,
        incarnation: str,
        state: router_state.RouterState,
        now_s: float,
    ) -> None:
        member = self._members.get(incarnations.instance_of(incarnation))
        if member is not None and member.status.incarnation == incarnation:
            member.record_message(state, now_s)
            return
        if not self._newest.is_replaced(incarnation):
            self._early_states[incarnation] = state
            while len(self._early_states) > MAX_EARLY_STATES:
                del self._early_states[next(iter(self._early_states))]

    def _on_reported_death(
        self, incarnation: str, reporter: str, now_s: float
    ) -> Iterator[view_messages.Effect]:
        if incarnation == self._own.incarnation:
            yield death_effects.StopSuperseded(
                f"router on instance {reporter} has acknowledged the death of "
                "this process"
            )
            return
        if self._newest.is_replaced(incarnation) or self._is_death_plausible(
            incarnation, now_s
        ):
            yield from self._deaths.add(
                incarnation,
                f"router on instance {reporter} has acknowledged its death",
            )

    def _is_death_plausible(self, incarnation: str, now_s: float) -> bool:
        """Return whether own observations are consistent with a reported death.

        They are not if the instance is listed, if the list is not known yet or
        if the router has sent a message recently.
        """
        name = incarnations.instance_of(incarnation)
        if (
            not self._instance_list.has_been_read
            or self._instance_list.get(name) is not None
        ):
            return False
        member = self._members.get(name)
        if member is None or member.last_message_s is None:
            return True
        return now_s - member.last_message_s >= self._policy.dead_after_s

    def _confirm_unreachable(
        self, now_s: float
    ) -> Iterator[view_messages.Effect]:
        """Confirm deaths by the evidence of this and of another router.

        This is rule E2 in section 4.5 of docs/design.md.
        """
        for name in sorted(self.routers()):
            if not self._instance_list.unlisted_s(name):
                continue
            evidence = self._members[name].make_evidence(
                self._instance_list.unlisted_s(name)
            )
            if not self._peer_evidence.is_sufficient(evidence):
                continue
            reporter = self._peer_evidence.find_reporter(
                evidence.incarnation, now_s
            )
            if reporter is not None:
                yield from self._deaths.add(
                    evidence.incarnation,
                    f"not listed for {evidence.unlisted_s:.0f} s; unreachable "
                    f"for this router ({evidence.failed_probes} failed probes "
                    f"in {evidence.unreachable_s:.0f} s) and for the router on "
                    f"instance {reporter}",
                )

    def _report_leaving(
        self, changed: list[str]
    ) -> Iterator[view_messages.Effect]:
        for name in changed:
            yield death_effects.InstanceLeaving(
                name, self._instance_list.get(name) is not None
            )
