"""Checks of the promises from what callers and backend servers see."""

from __future__ import annotations

import collections

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import sent_request
from testing.users_platform import server_standin

NOT_RUN = (408, 421, 429, 503)
# Time after an acknowledgement within which a leaving server may get work.
DRAIN_S = 3.0
# Time after an acknowledgement at which a configuration is in force.
APPLY_S = 3.0
# Time after a caller has left at which its work has ended.
LEFT_S = 0.5
# Times are read in one busy process beside the routers.
SLACK_S = 0.3


class GuaranteeChecker:
    """Compare what was sent, run, answered and paid for.

    Attributes:
        violations: Broken promises, in words.
        outcomes: Answers by status; 0 for a connection that broke.
    """

    def __init__(
        self,
        fault_periods: fault_periods_lib.FaultPeriods,
        prepaid: dict[str, int],
    ) -> None:
        self.violations: list[str] = []
        self.outcomes: collections.Counter[int] = collections.Counter()
        self._fault_periods = fault_periods
        self._prepaid = dict(prepaid)
        self._used: collections.Counter[str] = collections.Counter()
        self._sent: dict[str, sent_request.SentRequest] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._delivered: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._running: collections.Counter[str] = collections.Counter()
        self._left_s: dict[str, float] = {}
        self._draining_s: dict[str, float] = {}
        self._configs: list[tuple[int, float]] = []
        self._seen_config: dict[str, int] = {}

    def on_sent(self, sent: sent_request.SentRequest) -> None:
        """Note a request before it is sent."""
        self._sent[sent.request_id] = sent

    def on_run(self, server: str, request: tuple, now_s: float) -> None:
        """Check a request that a server begins to run."""
        method, target, headers, body = request
        request_id = headers["x-jasminetally-attempt-id"]
        sent = self._sent.get(request_id)
        if sent is None:
            self._broken(f"{server} runs {request_id}, which nobody sent")
            return
        if (method, target, body) != ("POST", sent.path, sent.body):
            self._broken(f"{server} runs {request_id} changed")
        if headers.get("x-jasminetally-tenant") != sent.account:
            self._broken(f"{server} runs {request_id} for another account")
        if "authorization" in headers:
            self._broken(f"{server} was given the key of {request_id}")
        self._runs[request_id] += 1
        self._running[request_id] += 1
        if self._runs[request_id] > 1 and not sent.repeatable:
            self._broken(f"{request_id} ran twice, at last on {server}")
        if request_id in self._refused:
            self._broken(f"{request_id} ran after it was refused as not run")
        drained_s = self._draining_s.get(server, now_s)
        late = now_s - drained_s > DRAIN_S + SLACK_S
        if late and self._fault_periods.is_fault_free(drained_s, now_s):
            self._broken(f"{server} got {request_id} long after its drain")

    def on_run_end(self, request: tuple) -> None:
        """Note that a server has stopped to work on a request."""
        request_id = request[2]["x-jasminetally-attempt-id"]
        if self._running[request_id]:
            self._running[request_id] -= 1

    def on_answer(
        self,
        sent: sent_request.SentRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Check a whole answer."""
        self.outcomes[status] += 1
        request_id = sent.request_id
        if status in NOT_RUN:
            self._refused.add(request_id)
            if self._runs[request_id]:
                self._broken(f"{request_id} ran and was refused as not run")
        if status >= 300:
            return
        if "x-jasminetally-server-signature" not in headers:
            self._broken(f"{request_id} succeeded without a signature")
        if not self._runs[request_id]:
            self._broken(f"{request_id} succeeded without a run")
        if body != expected_answer(sent):
            self._broken(f"{request_id} succeeded with {body[:80]!r}")

    def on_event(self, sent: sent_request.SentRequest, data: bytes) -> None:
        """Check an event of a stream, and what its account has used."""
        request_id = sent.request_id
        self._delivered[request_id] += 1
        number = self._delivered[request_id]
        if data != encode_event(request_id, number):
            self._broken(f"{request_id} got {data[:60]!r} as event {number}")
        if number == 1:
            self._used[sent.account] += sent.prompt_tokens
        self._used[sent.account] += server_standin.TOKENS_PER_EVENT
        if self._used[sent.account] > self._prepaid[sent.account]:
            self._broken(f"{sent.account} used more than it paid for")

    def on_connection_broken(
        self, sent: sent_request.SentRequest, reason: str, now_s: float
    ) -> None:
        """Check a request whose connection ended without a whole answer."""
        self.outcomes[0] += 1
        request_id = sent.request_id
        if self._runs[request_id] and self._fault_periods.is_fault_free(
            sent.sent_s, now_s
        ):
            self._broken(f"{request_id} was cut off without a fault: {reason}")

    def on_abandoned(
        self, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        """Note that a caller closed its connection before the answer."""
        self._left_s[sent.request_id] = now_s

    def on_server_draining(self, server: str, now_s: float) -> None:
        """Note that the store has accepted a server's leaving."""
        self._draining_s[server] = now_s

    def on_prepaid(self, account: str, prepaid: int) -> None:
        """Note what an account has paid for, before it is stored."""
        self._prepaid[account] = max(prepaid, self._prepaid.get(account, 0))

    def on_config_stored(self, version: int, now_s: float) -> None:
        """Note that the store has accepted a configuration."""
        self._configs.append((version, now_s))

    def on_probe(
        self, run: str, version: int, status: int, sent_s: float
    ) -> None:
        """Check an answer on the route that only one version has.

        Args:
            run: Router that answered, with the number of its start.
            version: Version whose route was asked for.
            status: Answer's status.
            sent_s: Monotonic time of the send.
        """
        if status == 200:
            seen = self._seen_config.get(run, 0)
            if seen > version:
                self._broken(f"{run} went back from {seen} to {version}")
            self._seen_config[run] = max(seen, version)
        newer_s = [at_s for found, at_s in self._configs if found > version]
        old = bool(newer_s) and sent_s - newer_s[0] > APPLY_S + SLACK_S
        if (
            old
            and status == 200
            and self._fault_periods.is_fault_free(newer_s[0], sent_s)
        ):
            self._broken(f"{run} still serves version {version}")

    def check_abandoned(self, now_s: float) -> None:
        """Check that nothing works for callers that have left."""
        for request_id, left_s in list(self._left_s.items()):
            if now_s - left_s < LEFT_S + SLACK_S:
                continue
            del self._left_s[request_id]
            if self._running[request_id] and self._fault_periods.is_fault_free(
                left_s, now_s
            ):
                self._broken(f"{request_id} is worked on, its caller has left")

    def _broken(self, text: str) -> None:
        self.violations.append(text)


def encode_event(request_id: str, number: int) -> bytes:
    """Return an event that only one request can get."""
    return b"id: %d\ndata: %s\n\n" % (number, request_id.encode())


def expected_answer(sent: sent_request.SentRequest) -> bytes:
    """Return the whole answer to a request."""
    if not sent.prompt_tokens:
        return b"answer to " + sent.body
    return b"".join(
        encode_event(sent.request_id, number)
        for number in range(1, EVENTS_PER_STREAM + 1)
    )


# Events of each stream.
EVENTS_PER_STREAM = 12
