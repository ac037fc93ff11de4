"""Scheduling of requests, from submission to the start of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._routing import effects
from jasminetally._routing import request_closer
from jasminetally._routing import request_record
from jasminetally._routing import request_state
from jasminetally._routing import run_starter

if TYPE_CHECKING:
    from jasminetally._routing import context
    from jasminetally._routing import request_spec
    from jasminetally._routing import server_state

State = request_state.RequestState
Record = request_record.RequestRecord
Effects = list[effects.Effect]

# A request waits for a slot on a server with its prefix until this long before
# its latest start; in the remaining time some slot almost surely becomes free.
AFFINITY_WAIT_MARGIN_S = 1.0


class RequestScheduler:
    """Admits requests, chooses their servers and starts their runs.

    Between the choice of a server and the start, a crash suspect needs the
    agreement of the peers, and a request that may not be repeated needs a
    durable claim. The request occupies its slot in the meantime.
    """

    def __init__(
        self, ctx: context.Context, closer: request_closer.RequestCloser
    ) -> None:
        self._ctx = ctx
        self._closer = closer
        self._run_starter = run_starter.RunStarter(ctx, closer)
        # Servers with a free slot, by tier and slot share; cleared at the start
        # of each pass and whenever a request takes a slot.
        self._free_servers: dict[
            tuple[str, float], list[server_state.ServerState]
        ] = {}

    def submit(
        self, spec: request_spec.RequestSpec, now_s: float, out: Effects
    ) -> None:
        """Start a new request, queue it, or refuse it immediately."""
        ctx = self._ctx
        record = Record(spec)
        if ctx.suspects.crash_count(spec.fingerprint):
            # Submitted again after a crash: the most likely cause goes first.
            record.run_before_crash_s = 0.0
        ctx.records[spec.request] = record
        ctx.retry_budget.on_request(now_s)
        self._enqueue(record)
        if ctx.suspects.is_blocked(spec.fingerprint):
            self._closer.refuse(record, "request_crashes_servers", now_s, out)
            return
        if not ctx.table.group(*record.group):
            self._closer.refuse(record, "no_server", now_s, out)
            return
        self.start_waiting(record.group, now_s, out)
        if (
            ctx.records.get(spec.request) is not record
            or record.state is not State.QUEUED
        ):
            return
        if not ctx.admission.admits(record, now_s):
            wait_s = ctx.admission.predict_wait_s(record, now_s)
            self._closer.refuse(
                record,
                "overloaded",
                now_s,
                out,
                retry_after_s=ctx.admission.retry_after_s(wait_s),
            )

    def requeue(self, record: Record, now_s: float, out: Effects) -> None:
        """Return a request to the queue for another run."""
        server = record.server
        self._closer.release_resources(record, now_s, out, cleared=False)
        if record.claimed:
            out.append(effects.ReleaseClaim(record.spec.request, server))
            record.claimed = False
        record.delivered = 0
        record.tokens = 0
        record.resumes = 0
        record.connection_reset = False
        record.state = State.QUEUED
        self._enqueue(record)

    def start_waiting(
        self, group: tuple[str, str], now_s: float, out: Effects
    ) -> None:
        """Start waiting requests of a group while servers have free slots.

        The first pass gives a request with a prefix only a slot on a server
        with affinity for it, as long as the request can wait. The second pass
        gives the slots that are left to any request.
        """
        ctx = self._ctx
        self._free_servers.clear()
        records = [
            record
            for record in ctx.queue.candidates(group, now_s)
            if self._is_eligible(record, now_s, out)
        ]
        for affinity_first in (True, False):
            full_tiers: set[str] = set()
            for record in records:
                if record.spec.tier in full_tiers:
                    continue
                if record.state is not State.QUEUED:
                    continue
                wait_for_affinity = (
                    affinity_first
                    and bool(record.spec.prefix)
                    and now_s < record.latest_start_s - AFFINITY_WAIT_MARGIN_S
                )
                if not self._try_start(
                    record, now_s, out, affinity_only=wait_for_affinity
                ):
                    full_tiers.add(record.spec.tier)

    def start_all_waiting(self, now_s: float, out: Effects) -> None:
        """Refuse requests that can no longer finish in time; start others."""
        for record in self._ctx.queue.pop_expired(now_s):
            latest_start_s = self._ctx.admission.latest_start_s(record)
            if latest_start_s > now_s:
                self._ctx.queue.set_latest_start(record, latest_start_s)
                continue
            self._closer.refuse(record, "deadline", now_s, out)
        for group in self._ctx.queue.groups():
            self.start_waiting(group, now_s, out)

    def on_claimed(self, record: Record, now_s: float, out: Effects) -> None:
        """Start a request whose claim is durable."""
        record.claimed = True
        state = self._ctx.table.get(record.server)
        fingerprint = record.spec.fingerprint
        suspect = self._ctx.suspects.crash_count(fingerprint) > 0
        if (
            state is None
            or state.draining
            or state.unlisted
            or now_s < state.avoided_until_s
            or (suspect and not record.run_approved)
        ):
            self.requeue(record, now_s, out)
            self.start_waiting(record.group, now_s, out)
            return
        self._run_starter.start_run(record, state, now_s, out)

    def take_over_claimed(
        self, record: Record, server: str, now_s: float, out: Effects
    ) -> None:
        """Continue a request that an earlier claim assigned to a server."""
        self._run_starter.take_over_claimed(record, server, now_s, out)

    def on_broadcast_finished(
        self, record: Record, now_s: float, out: Effects, *, reached_all: bool
    ) -> None:
        """Start a crash suspect if all peers agreed, else queue it again."""
        suspects = self._ctx.suspects
        fingerprint = record.spec.fingerprint
        if suspects.is_blocked(fingerprint):
            self._closer.refuse(record, "request_crashes_servers", now_s, out)
            return
        state = self._ctx.table.get(record.server)
        if (
            not reached_all
            or not suspects.has_own_run(fingerprint)
            or state is None
            or state.draining
            or state.unlisted
            or now_s < state.avoided_until_s
        ):
            record.not_before_s = now_s + self._ctx.policy.suspect_retry_s
            self.requeue(record, now_s, out)
            return
        record.run_approved = True
        self._run_starter.start_or_claim(record, state, now_s, out)

    def _enqueue(self, record: Record) -> None:
        admission = self._ctx.admission
        self._ctx.queue.push(
            record,
            work_s=admission.mean_slot_time_s(record.spec),
            latest_start_s=admission.latest_start_s(record),
        )

    def _is_eligible(self, record: Record, now_s: float, out: Effects) -> bool:
        if now_s < record.not_before_s:
            return False
        fingerprint = record.spec.fingerprint
        suspects = self._ctx.suspects
        if suspects.is_blocked(fingerprint):
            self._closer.refuse(record, "request_crashes_servers", now_s, out)
            return False
        if suspects.crash_count(fingerprint):
            return suspects.may_request_run(fingerprint, now_s)
        return True

    def _try_start(
        self, record: Record, now_s: float, out: Effects, *, affinity_only: bool
    ) -> bool:
        """Start a request if possible; return False if its tier has no slot."""
        ctx = self._ctx
        spec = record.spec
        suspect = ctx.suspects.crash_count(spec.fingerprint) > 0
        if suspect:
            state = ctx.chooser.least_loaded_server(
                spec, now_s, avoided=ctx.suspects.reserved_servers(now_s)
            )
        else:
            share = ctx.queue.slot_share(record, now_s)
            free = self._free_servers.get((spec.tier, share))
            if free is None:
                free = ctx.chooser.free_servers(spec, now_s, share=share)
                self._free_servers[spec.tier, share] = free
            if not free:
                return False
            state = ctx.chooser.choose_server(
                spec,
                free,
                may_start=lambda state: ctx.admission.may_start(
                    state, record, now_s
                ),
                excluded=record.excluded_servers,
                affinity_only=affinity_only,
            )
        if state is None:
            return True
        if not ctx.admission.may_start(state, record, now_s):
            return True
        if record.runs and not record.retry_charged:
            if not ctx.retry_budget.try_retry(now_s):
                return True
            record.retry_charged = True
        self._reserve_slot(record, state, now_s, out, suspect=suspect)
        return True

    def _reserve_slot(
        self,
        record: Record,
        state: server_state.ServerState,
        now_s: float,
        out: Effects,
        *,
        suspect: bool,
    ) -> None:
        ctx = self._ctx
        fingerprint = record.spec.fingerprint
        ctx.queue.remove(record)
        self._free_servers.clear()
        record.server = state.server
        ctx.table.reserve(state.server, record.spec, now_s)
        if suspect:
            record.state = State.ASKING
            record.broadcast = ctx.new_id()
            requested = ctx.suspects.request_run(fingerprint, state.server)
            out.append(
                effects.BroadcastSuspicions(record.broadcast, (requested,))
            )
        else:
            self._run_starter.start_or_claim(record, state, now_s, out)
