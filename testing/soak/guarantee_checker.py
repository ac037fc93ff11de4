"""Checks of the guarantees, by what callers and backend servers observe."""

from __future__ import annotations

import collections

from testing.soak import cut_checker
from testing.soak import fault_periods as fault_periods_lib
from testing.soak import notice_checker
from testing.soak import place_checker
from testing.soak import retry_checker
from testing.soak import rule as rule_lib
from testing.soak import sent_request
from testing.soak import version_checker
from testing.users_platform import server_standin

# Statuses by which a router states that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses by which a router turns a request away as wrong.
DENIED_STATUSES = (400, 401, 403, 404, 413, 431)
# Time after the store has acknowledged a backend server as draining within
# which the server may still be sent requests.
DRAINING_LIMIT_S = 3.0
# Time after which a draining server is gone, so that nothing can reach it.
DRAINING_CHECK_S = 60.0
# Time after the store's acknowledgement within which a configuration must be
# in force.
CONFIG_LIMIT_S = 3.0
# Time after a caller has closed its connection within which its request must
# no longer be running.
ABANDONED_LIMIT_S = 0.5
# Tolerance of all time limits: times are read in this process, which shares
# the machine with the routers and is busy itself.
TOLERANCE_S = 0.3


class GuaranteeChecker:
    """Compares what was sent, run, answered and prepaid.

    Attributes:
        violations: Descriptions of violated guarantees.
        notices: Checks of what backend servers have asked of the routers.
        places: Checks of evacuated data centres and cold servers.
        retries: Checks of the repeats that reach backend servers.
        cuts: Checks of the routers that are cut off from all servers.
        versions: Checks of the versions that bring the events of a stream.
        outcomes: Number of requests by status; 0 stands for requests whose
            connection ended without a complete answer.
    """

    def __init__(
        self,
        fault_periods: fault_periods_lib.FaultPeriods,
        prepaid_tokens: dict[str, int],
    ) -> None:
        """Create a checker that has observed nothing yet.

        Args:
            fault_periods: Times at which unplanned faults are active.
            prepaid_tokens: Prepaid tokens of each client account.
        """
        self.violations: list[str] = []
        self.outcomes: collections.Counter[int] = collections.Counter()
        self.notices = notice_checker.NoticeChecker(
            fault_periods, self._add_violation
        )
        self.places = place_checker.PlaceChecker(
            fault_periods, self._add_violation
        )
        self.retries = retry_checker.RetryChecker()
        self.cuts = cut_checker.CutChecker()
        self.versions = version_checker.VersionChecker(fault_periods)
        self._fault_periods = fault_periods
        self._prepaid_tokens = dict(prepaid_tokens)
        self._used_tokens: collections.Counter[str] = collections.Counter()
        self._sent: dict[str, sent_request.SentRequest] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._event_counts: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._running: collections.Counter[str] = collections.Counter()
        self._abandoned: dict[str, tuple[sent_request.SentRequest, float]] = {}
        self._draining_s: dict[str, float] = {}
        self._stored_configs: list[tuple[int, float]] = []
        self._latest_config: dict[str, int] = {}

    def on_sent(self, sent: sent_request.SentRequest) -> None:
        """Record a request; to be called before it is sent."""
        self._sent[sent.request_id] = sent
        service = "pool" if sent.prompt_tokens else "app"
        self.retries.on_sent(service, sent.sent_s)
        self.notices.on_sent(sent, sent.sent_s)

    def get_sent(self, request: tuple) -> sent_request.SentRequest | None:
        """Return what a caller sent; None if no caller has sent the request.

        Args:
            request: Method, target, headers and body as a server got them.
        """
        return self._sent.get(request[2]["x-jasminetally-attempt-id"])

    def on_run(self, server: str, request: tuple, now_s: float) -> None:
        """Check a request that a backend server starts to run.

        Args:
            server: Name of the server.
            request: Method, target, headers and body as the server got them.
            now_s: Current time, in seconds of the monotonic clock.
        """
        method, target, headers, body = request
        request_id = headers["x-jasminetally-attempt-id"]
        sent = self._sent.get(request_id)
        if sent is None:
            self._add_violation(
                f"{server} runs {request_id}, which no caller has sent"
            )
            return
        if (method, target, body) != ("POST", sent.path, sent.body):
            self._add_violation(
                f"{server} runs {request_id} with another method, target or"
                " body than was sent"
            )
        if headers.get("x-jasminetally-tenant") != sent.account:
            self._add_violation(
                f"{server} runs {request_id} for another account than"
                f" {sent.account}"
            )
        if "authorization" in headers:
            self._add_violation(
                f"{server} received the caller's key with {request_id}"
            )
        self._runs[request_id] += 1
        self._running[request_id] += 1
        if self._runs[request_id] > 1 and not sent.repeatable:
            self._add_violation(
                f"{request_id} is not repeatable but ran again, on {server}"
            )
        if request_id in self._refused:
            self._add_violation(
                f"{request_id} ran on {server} after it was refused as not run"
            )
        self._check_draining(server, sent, now_s)

    def _check_draining(
        self, server: str, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        """Check a run against the servers that it should not go to."""
        for draining, draining_s in self._draining_s.items():
            late = now_s - draining_s > DRAINING_LIMIT_S + TOLERANCE_S
            if (
                late
                and now_s - draining_s < DRAINING_CHECK_S
                and self._fault_periods.applies(
                    rule_lib.Rule.DRAINING, draining_s, now_s, sent.router
                )
                and draining == server
            ):
                self._add_violation(
                    f"{server} was sent {sent.request_id}"
                    f" {now_s - draining_s:.1f} s after the store had listed it"
                    " as draining"
                )

    def on_run_end(self, request: tuple) -> None:
        """Record that a backend server no longer runs a request.

        Args:
            request: Method, target, headers and body as the server got them.
        """
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
        """Check an answer that a caller has received to its end."""
        self.outcomes[status] += 1
        if sent.account == "large":
            # The small account may have no tokens left.
            self.cuts.on_end(sent, served=status == 200)
        if self._runs[sent.request_id]:
            self._fault_periods.applies(
                rule_lib.Rule.CUT_OFF, sent.sent_s, sent.sent_s, sent.router
            )
        request_id = sent.request_id
        if status in NOT_RUN_STATUSES:
            self._refused.add(request_id)
            if self._runs[request_id]:
                self._add_violation(
                    f"{request_id} was refused as not run with status"
                    f" {status}, but it ran"
                )
        if status in DENIED_STATUSES and not is_probe(sent):
            self._add_violation(
                f"{request_id} is proper but was denied with status {status}"
            )
        if status >= 300:
            return
        if "x-jasminetally-server-signature" not in headers:
            self._add_violation(
                f"{request_id} succeeded without a server's signature"
            )
        if not self._runs[request_id]:
            self._add_violation(f"{request_id} succeeded but never ran")
        if body != expected_answer(sent):
            self._add_violation(
                f"{request_id} succeeded with the wrong body {body[:80]!r}"
            )

    def on_event(self, sent: sent_request.SentRequest, data: bytes) -> None:
        """Check an event of a stream and the tokens used by its account."""
        request_id = sent.request_id
        self._event_counts[request_id] += 1
        number = self._event_counts[request_id]
        if data != encode_event(request_id, number):
            self._add_violation(
                f"{request_id} received {data[:60]!r} as event {number}"
            )
        if number == 1:
            self._used_tokens[sent.account] += sent.prompt_tokens
        self._used_tokens[sent.account] += server_standin.TOKENS_PER_EVENT
        if self._used_tokens[sent.account] > self._prepaid_tokens[sent.account]:
            self._add_violation(
                f"{sent.account} used {self._used_tokens[sent.account]} of"
                f" {self._prepaid_tokens[sent.account]} prepaid tokens"
            )

    def on_connection_broken(
        self, sent: sent_request.SentRequest, reason: str, now_s: float
    ) -> None:
        """Check a request that ended without a complete answer."""
        self.outcomes[0] += 1
        if sent.account == "large":
            self.cuts.on_end(sent, served=False)
        request_id = sent.request_id
        if self._runs[request_id] and self._fault_periods.applies(
            rule_lib.Rule.CUT_OFF, sent.sent_s, now_s, sent.router
        ):
            self._add_violation(
                f"{request_id} ran and was cut off without an unplanned fault:"
                f" {reason}"
            )

    def on_abandoned(
        self, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        """Record that a caller closed its connection before the answer."""
        self._abandoned[sent.request_id] = sent, now_s

    def on_server_draining(self, server: str, now_s: float) -> None:
        """Record that the store has acknowledged a server as draining."""
        self._draining_s[server] = now_s

    def on_prepaid(self, account: str, prepaid_tokens: int) -> None:
        """Record the prepaid tokens of an account.

        To be called before they are stored, as the routers may let the account
        use them from then on.
        """
        self._prepaid_tokens[account] = max(
            prepaid_tokens, self._prepaid_tokens.get(account, 0)
        )

    def on_config_stored(self, version: int, now_s: float) -> None:
        """Record that the store has acknowledged a configuration."""
        self._stored_configs.append((version, now_s))

    def latest_config(self, incarnation: str) -> int:
        """Return the newest version that an incarnation has served; 0: none."""
        return self._latest_config.get(incarnation, 0)

    def on_probe(
        self,
        incarnation: str,
        version: int,
        status: int,
        sent_s: float,
        *,
        latest: int,
    ) -> None:
        """Check the answer to a request for the route of a single version.

        Args:
            incarnation: Router that answered, with the number of its start.
            version: The only configuration version that has the route.
            status: Status of the answer.
            sent_s: Time of sending, in seconds of the monotonic clock.
            latest: Newest version that the router had served at that time. An
                answer to a request sent before may come after later ones.
        """
        if status == 200:
            if latest > version:
                self._add_violation(
                    f"{incarnation} reverted its configuration from version"
                    f" {latest} to {version}"
                )
            self._latest_config[incarnation] = max(
                self.latest_config(incarnation), version
            )
        self._check_denied_probe(incarnation, version, status, sent_s)
        newer_s = [
            stored_s
            for stored_version, stored_s in self._stored_configs
            if stored_version > version
        ]
        outdated = (
            bool(newer_s) and sent_s - newer_s[0] > CONFIG_LIMIT_S + TOLERANCE_S
        )
        if (
            outdated
            and self._fault_periods.applies(
                rule_lib.Rule.CONFIGURATION, newer_s[0], sent_s, incarnation
            )
            and status == 200
        ):
            self._add_violation(
                f"{incarnation} still serves configuration version {version}"
                f" {sent_s - newer_s[0]:.1f} s after a newer one was stored"
            )

    def _check_denied_probe(
        self, incarnation: str, version: int, status: int, sent_s: float
    ) -> None:
        """Check that a route is known from when its version must be in force.

        The key of a probe is in all versions.
        """
        if not self._stored_configs:
            return
        latest_version, stored_s = self._stored_configs[-1]
        late = sent_s - stored_s > CONFIG_LIMIT_S + TOLERANCE_S
        must_be_known = (
            version == latest_version
            and late
            and self._fault_periods.applies(
                rule_lib.Rule.CONFIGURATION, stored_s, sent_s, incarnation
            )
        )
        if status not in DENIED_STATUSES:
            return
        if status != 404 or must_be_known:
            self._add_violation(
                f"{incarnation} answers {status} for the route of version"
                f" {version} {sent_s - stored_s:.1f} s after version"
                f" {latest_version} was stored"
            )

    def check_abandoned(self, now_s: float) -> None:
        """Check that no server still runs requests that were abandoned."""
        for request_id, (sent, abandoned_s) in list(self._abandoned.items()):
            if now_s - abandoned_s < ABANDONED_LIMIT_S + TOLERANCE_S:
                continue
            del self._abandoned[request_id]
            applies = self._fault_periods.applies(
                rule_lib.Rule.ABANDONED, abandoned_s, now_s, sent.router
            )
            if applies and self._running[request_id]:
                self._add_violation(
                    f"{request_id} still runs {now_s - abandoned_s:.1f} s after"
                    " its caller closed the connection"
                )

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)


def is_probe(sent: sent_request.SentRequest) -> bool:
    """Return whether a request asks for the route of a single version."""
    return sent.path.startswith("/v")


def encode_event(request_id: str, number: int) -> bytes:
    """Return an event of a stream; its data is the id of the request."""
    return b"id: %d\ndata: %s\n\n" % (number, request_id.encode())


def expected_answer(sent: sent_request.SentRequest) -> bytes:
    """Return the complete body of a successful answer to a request."""
    if not sent.prompt_tokens:
        return b"answer to " + sent.body
    return b"".join(
        encode_event(sent.request_id, number)
        for number in range(1, EVENTS_PER_STREAM + 1)
    )


EVENTS_PER_STREAM = 12
