"""Executor of the effects of budget managers in virtual time."""

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

TICK_S = 0.05
PEER_S = 0.001
TIMEOUT_S = 0.3


class Executor:
    """Platform calls, peer messages and requests of a fake fleet."""

    # Time.

    def advance(self, seconds):
        """Run for some seconds, with a tick of every manager each 50 ms."""
        until = self.now + seconds
        while self.now < until:
            self._run_until(min(until, self.now + TICK_S))
            for name in list(self.managers):
                self.call(name, lambda m: m.tick(self.now))

    def _run_until(self, until):
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = until

    def later(self, delay_s, act):
        """Schedule an act after a delay in seconds."""
        self._number += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._number, act))

    # Routers.

    def call(self, name, act):
        """Call a manager; a paused router does so when it resumes."""
        if name in self.paused:
            self.paused[name].append(lambda: self.call(name, act))
            return
        found = self.managers.get(name)
        if found is not None:
            self.execute(name, act(found))

    def execute(self, name, effects):
        """Execute the effects of a router."""
        journaled = True
        for effect in effects or ():
            match effect:
                case platform_effects.ReadRecord():
                    self._read(name)
                case platform_effects.WriteRecord():
                    self._write(name, effect)
                case admission_effects.Admit():
                    self._admitted(name, effect)
                case claim_effects.ClaimDecided():
                    self._claim_decided(name, effect)
                case transfer_effects.AskTransfer():
                    for peer in effect.peers:
                        self._ask(name, peer, effect.request)
                case transfer_effects.AppendJournal():
                    journaled = all(
                        self._journal(name, note.transfer, note)
                        for note in effect.entries
                    )
                case transfer_effects.SendTransfer() if journaled:
                    self._send_note(name, effect)
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

    def _read(self, name):
        def serve():
            if name in self.cut:
                failed = lambda m: m.on_read_failed(self.now)  # noqa: E731
                self.later(TIMEOUT_S, lambda: self.call(name, failed))
                return
            record, version = self.store.record, self.store.version
            reply = lambda m: m.on_record(record, version, self.now)  # noqa: E731
            self.later(self.store.delay_s, lambda: self.call(name, reply))

        self.later(self.store.delay_s, serve)

    def _write(self, name, effect):
        def reply(result, delay_s):
            answer = lambda m: m.on_written(result, self.now)  # noqa: E731
            self.later(delay_s, lambda: self.call(name, answer))

        def serve():
            fault = self.store.fault
            if name in self.cut:
                reply(known_results.NotApplied(), TIMEOUT_S)
            elif fault == "late":
                self.later(
                    0.7,
                    lambda: self.store.write(
                        effect.value, effect.expected_version
                    ),
                )
                reply(unknown_result.Unknown(), TIMEOUT_S)
            else:
                result = self.store.write(effect.value, effect.expected_version)
                lost = unknown_result.Unknown()
                if fault == "lost":
                    reply(lost, TIMEOUT_S)
                else:
                    reply(result, self.store.delay_s)

        self.later(self.store.delay_s, serve)

    def _ask(self, name, peer, ask):
        if self.meets(name, peer):
            asked = lambda m: m.on_transfer_asked(ask, self.now)  # noqa: E731
            self.later(PEER_S, lambda: self.call(peer, asked))

    def _send_note(self, name, effect):
        def arrive():
            if self.groups[name] == self.groups[effect.peer]:
                got = lambda m: m.on_transfer_received(  # noqa: E731
                    effect.reply, self.now
                )
                self.call(effect.peer, got)

        # Every note arrives a second time, as after a repeated question.
        self.later(PEER_S, arrive)
        self.later(3.0, arrive)

    def _journal(self, name, key, entry):
        peers = [p for p in self.managers if p != name and self.meets(name, p)]
        for peer in sorted(peers)[:2]:
            journal = self.journals.setdefault(name, {})
            journal.setdefault(peer, {})[key] = entry
        return bool(peers)

    # Requests; every step is a call, so that a pause can come before each.

    def _admitted(self, name, granted):
        req, actual, claims = self.runs[(name, granted.reservation)]
        run = fake_run.Run(req, actual, claims, granted)
        self.runs[(name, req.reservation)] = run
        self.results[req.reservation] = "admitted"
        if not claims:
            self.later(
                0.0, lambda: self.call(name, lambda m: self._send(name, run))
            )
            return
        claim = claim_request.ClaimRequest(
            req.reservation, req.key_hash, req.fingerprint, "e", self.now + 2.0
        )
        self.later(
            0.0, lambda: self.call(name, lambda m: m.claim(claim, self.now))
        )

    def _claim_decided(self, name, decided):
        run = self.runs[(name, decided.reservation)]
        if isinstance(decided.outcome, claim_outcomes.Claimed):
            self.later(
                0.0, lambda: self.call(name, lambda m: self._send(name, run))
            )
        else:
            outcome = type(decided.outcome).__name__
            self.results[decided.reservation] = outcome

    def _send(self, name, run):
        """Journal the reservation and send the request to its engine."""
        reservation = run.req.reservation
        alone = len(self.managers) == 1
        if not (run.isolated or alone) and not self._journal(
            name, reservation, run
        ):
            found = self.managers[name]
            if not found.use_isolated_share(reservation, self.now):
                self.results[reservation] = "cancelled"
                return found.cancel(reservation, self.now)
        run.sent = True
        self.ran[run.req.budget] += run.actual
        if run.claims:
            self.claim_runs[run.req.key_hash] += 1
        self.later(
            self.run_s,
            lambda: self.call(name, lambda m: self._finish(name, run)),
        )
        return []

    def _finish(self, name, run):
        run.finished = True
        self._journal(name, run.req.reservation, run)
        self.answers[run.req.key_hash] += 1
        return self.managers[name].finish(
            run.req.reservation, usage.Usage(run.actual), self.now
        )
