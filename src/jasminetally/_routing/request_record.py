"""Request in progress."""

from __future__ import annotations

import dataclasses

from jasminetally._routing import request_spec
from jasminetally._routing import request_state


@dataclasses.dataclass(slots=True, eq=False)
class RequestRecord:
    """What the dispatcher knows about one request.

    Attributes:
        spec: The request.
        state: Where it stands.
        server: Server chosen or in use; empty while it is queued.
        attempt: Attempt in progress; empty for none.
        stream: Id of its stream on the server; empty before the first run.
        delivered: Chunks received in order in the current run.
        tokens: Tokens received in the current run.
        may_have_run: Whether a server may have run any part of it.
        claimed: Whether a durable claim exists.
        runs: Runs started.
        retry_paid: Whether the retry budget has been charged for the next run.
        resumes: Resumes since the last chunk.
        resume_at_s: Time of the next resume.
        reset: Whether the stream broke by a reset.
        not_before_s: Time before which it is not started again.
        latest_s: Latest start, as of its last check in the queue.
        share: Share that asks peers about it as a crash suspect.
        cleared_to_run: Whether the peers agreed that it runs as a suspect.
        run_started_s: Start of the current run in seconds.
        survived_s: Seconds that it ran before its server crashed, if it did.
        excluded: Servers that failed it.
        caller_gone: Whether nobody waits for its answer.
    """

    spec: request_spec.RequestSpec
    state: request_state.RequestState = request_state.RequestState.QUEUED
    server: str = ""
    attempt: str = ""
    stream: str = ""
    delivered: int = 0
    tokens: int = 0
    may_have_run: bool = False
    claimed: bool = False
    runs: int = 0
    retry_charged: bool = False
    resumes: int = 0
    resume_at_s: float = 0.0
    connection_reset: bool = False
    not_before_s: float = 0.0
    latest_start_s: float = 0.0
    broadcast: str = ""
    run_approved: bool = False
    run_started_s: float = 0.0
    run_before_crash_s: float | None = None
    excluded_servers: set[str] = dataclasses.field(default_factory=set)
    caller_disconnected: bool = False

    @property
    def group(self) -> tuple[str, str]:
        """Kind and model: the servers that can run it."""
        return self.spec.kind, self.spec.model

    @property
    def can_run_again(self) -> bool:
        """Whether another run may replace what the caller has seen."""
        if not self.may_have_run:
            return True
        if not self.spec.repeatable:
            return False
        return not (self.spec.streamed and self.delivered)
