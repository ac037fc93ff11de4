"""Execution of the effects of budget managers in virtual time."""

from __future__ import annotations

import heapq

from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._budget import claim_request
from jasminetally._budget import key_effects
from jasminetally._budget import known_results
from jasminetally._budget import platform_effects
from jasminetally._budget import transfer_effects
from jasminetally._budget import unknown_result
from jasminetally._budget import usage
from jasminetally._ledger import claim_outcomes
from testing.budget import fake_run

TICK_INTERVAL_S = 0.05
PEER_DELAY_S = 0.001
PLATFORM_TIMEOUT_S = 0.3


class Executor:
    """Base class of the fake fleet that executes effects.

    It makes the platform calls, delivers the peer messages and runs the
    requests.
    """

    # Time.

    def advance(self, seconds):
        """Advance the time by some seconds; tick all managers every 50 ms."""
        until = self.now + seconds
        while self.now < until:
            self._run_until(min(until, self.now + TICK_INTERVAL_S))
            for name in list(self.managers):
                self.call(name, lambda m: m.tick(self.now))

    def _run_until(self, until):
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def schedule(self, delay_s, action):
        """Schedule a callable after a delay in seconds."""
        self._number += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._number, action))

    # Routers.

    def call(self, name, action):
        """Call a manager and execute the effects.

        Calls to a paused router wait until it resumes; calls to a dead one are
        dropped.
        """
        if name in self.paused:
            self.paused[name].append(lambda: self.call(name, action))
            return
        found = self.managers.get(name)
        if found is not None:
            self.execute(name, action(found))

    def execute(self, name, effects):
        """Execute the effects of a router."""
        journaled = True
        for effect in effects or ():
            match effect:
                case platform_effects.ReadRecord():
                    self._read_record(name)
                case platform_effects.WriteRecord():
                    self._write_record(name, effect)
                case admission_effects.Admit():
                    self._on_admit(name, effect)
                case claim_effects.ClaimDecided():
                    self._on_claim_decided(name, effect)
                case transfer_effects.AskTransfer():
                    for peer in effect.peers:
                        self._deliver_request(name, peer, effect.request)
                case transfer_effects.AppendJournal():
                    journaled = all(
                        self._append_journal(name, reply.transfer, reply)
                        for reply in effect.entries
                    )
                case transfer_effects.SendTransfer() if journaled:
                    self._deliver_reply(name, effect)
                case admission_effects.Settled():
                    for journal in self.journals.get(name, {}).values():
                        journal.pop(effect.reservation, None)
                case admission_effects.Refuse():
                    self.results[effect.reservation] = effect.reason
                case (
                    key_effects.AlreadyCompleted()
                    | key_effects.AlreadyClaimed()
                    | key_effects.FingerprintMismatch()
                ):
                    self.results[effect.reservation] = type(effect).__name__

    def _read_record(self, name):
        def serve():
            if name in self.cut_off:
                failed = lambda m: m.on_read_failed(self.now)  # noqa: E731
                self.schedule(
                    PLATFORM_TIMEOUT_S, lambda: self.call(name, failed)
                )
                return
            record, version = self.store.record, self.store.version
            reply = lambda m: m.on_record(record, version, self.now)  # noqa: E731
            self.schedule(self.store.delay_s, lambda: self.call(name, reply))

        self.schedule(self.store.delay_s, serve)

    def _write_record(self, name, effect):
        def reply(result, delay_s):
            answer = lambda m: m.on_written(result, self.now)  # noqa: E731
            self.schedule(delay_s, lambda: self.call(name, answer))

        def serve():
            fault = self.store.fault
            if name in self.cut_off:
                reply(known_results.NotApplied(), PLATFORM_TIMEOUT_S)
            elif fault == "late":
                self.schedule(
                    0.7,
                    lambda: self.store.write(
                        effect.value, effect.expected_version
                    ),
                )
                reply(unknown_result.Unknown(), PLATFORM_TIMEOUT_S)
            else:
                result = self.store.write(effect.value, effect.expected_version)
                lost = unknown_result.Unknown()
                if fault == "lost":
                    reply(lost, PLATFORM_TIMEOUT_S)
                else:
                    reply(result, self.store.delay_s)

        self.schedule(self.store.delay_s, serve)

    def _deliver_request(self, name, peer, req):
        if self.can_reach(name, peer):
            request = lambda m: m.on_transfer_asked(req, self.now)  # noqa: E731
            self.schedule(PEER_DELAY_S, lambda: self.call(peer, request))

    def _deliver_reply(self, name, effect):
        def deliver():
            if self.sides[name] == self.sides[effect.peer]:
                receive = lambda m: m.on_transfer_received(  # noqa: E731
                    effect.reply, self.now
                )
                self.call(effect.peer, receive)

        # Every reply arrives a second time, as after a repeated request.
        self.schedule(PEER_DELAY_S, deliver)
        self.schedule(3.0, deliver)

    def _append_journal(self, name, key, entry):
        peers = [
            p for p in self.managers if p != name and self.can_reach(name, p)
        ]
        for peer in sorted(peers)[:2]:
            journal = self.journals.setdefault(name, {})
            journal.setdefault(peer, {})[key] = entry
        return bool(peers)

    # Requests. Each step is a separate call, so that a pause can start before
    # any of them.

    def _on_admit(self, name, granted):
        req, actual_tokens, needs_claim = self.runs[(name, granted.reservation)]
        run = fake_run.Run(req, actual_tokens, needs_claim, granted)
        self.runs[(name, req.reservation)] = run
        self.results[req.reservation] = "admitted"
        if not needs_claim:
            self.schedule(
                0.0,
                lambda: self.call(name, lambda m: self._start_run(name, run)),
            )
            return
        claim = claim_request.ClaimRequest(
            req.reservation, req.key_hash, req.fingerprint, "e", self.now + 2.0
        )
        self.schedule(
            0.0, lambda: self.call(name, lambda m: m.claim(claim, self.now))
        )

    def _on_claim_decided(self, name, decided):
        run = self.runs[(name, decided.reservation)]
        if isinstance(decided.outcome, claim_outcomes.Claimed):
            self.schedule(
                0.0,
                lambda: self.call(name, lambda m: self._start_run(name, run)),
            )
        else:
            outcome = type(decided.outcome).__name__
            self.results[decided.reservation] = outcome

    def _start_run(self, name, run):
        """Append the reservation to the journal and start the run."""
        reservation = run.req.reservation
        alone = len(self.managers) == 1
        if not (run.isolated or alone) and not self._append_journal(
            name, reservation, run
        ):
            found = self.managers[name]
            if not found.use_isolated_share(reservation, self.now):
                self.results[reservation] = "cancelled"
                return found.cancel(reservation, self.now)
        run.sent = True
        self.used_tokens[run.req.budget] += run.actual_tokens
        if run.needs_claim:
            self.claimed_run_counts[run.req.key_hash] += 1
        self.schedule(
            self.run_s,
            lambda: self.call(name, lambda m: self._finish_run(name, run)),
        )
        return []

    def _finish_run(self, name, run):
        run.finished = True
        self._append_journal(name, run.req.reservation, run)
        self.answer_counts[run.req.key_hash] += 1
        return self.managers[name].finish(
            run.req.reservation, usage.Usage(run.actual_tokens), self.now
        )
