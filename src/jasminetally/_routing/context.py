"""State shared by the parts of the dispatcher."""

from __future__ import annotations

import random

from jasminetally._routing import admission
from jasminetally._routing import crash_suspects
from jasminetally._routing import open_attempts
from jasminetally._routing import request_queue
from jasminetally._routing import request_record
from jasminetally._routing import routing_policy
from jasminetally._routing import server_chooser
from jasminetally._routing import server_table
from jasminetally._routing import silence_detector
from jasminetally._routing import suspicion_broadcaster
from jasminetally._shared import retry_budget


class Context:
    """Routing state of one router: requests, servers, attempts, suspects."""

    def __init__(
        self, *, policy: routing_policy.RoutingPolicy, rng: random.Random
    ) -> None:
        self.policy = policy
        self.rng = rng
        self.records: dict[str, request_record.RequestRecord] = {}
        self.table = server_table.ServerTable(policy)
        self.queue = request_queue.RequestQueue(policy)
        self.attempts = open_attempts.OpenAttempts()
        self.suspects = crash_suspects.CrashSuspects(policy, rng)
        self.broadcaster = suspicion_broadcaster.SuspicionBroadcaster(self)
        self.silence = silence_detector.SilenceDetector(
            policy=policy, attempts=self.attempts
        )
        self.retry_budget = retry_budget.RetryBudget(
            ratio=policy.retry_ratio,
            min_retries=policy.min_retries,
            window_s=policy.retry_window_s,
        )
        self.chooser = server_chooser.ServerChooser(
            policy=policy, table=self.table, rng=rng
        )
        self.admission = admission.Admission(
            policy=policy, table=self.table, queue=self.queue, rng=rng
        )

    def new_id(self) -> str:
        """Return a random 96-bit id, unique among all routers."""
        return f"{self.rng.getrandbits(96):024x}"
