"""State of one request in progress."""

from __future__ import annotations

import dataclasses

from jasminetally._routing import request_spec
from jasminetally._routing import request_state


@dataclasses.dataclass(slots=True, eq=False)
class RequestRecord:
    """Progress of one request, from its submission to its end.

    Attributes:
        spec: The request.
        state: State of the request.
        server: Server chosen or in use; empty while it is queued.
        attempt: Id of the attempt in flight; empty for none.
        stream: Id of its stream on the server; empty before the first run.
        delivered: Number of chunks received in order in the current run.
        tokens: Number of tokens received in the current run.
        may_have_run: Whether a server may have run any part of it.
        claimed: Whether a durable claim exists.
        runs: Number of runs started.
        retry_charged: Whether the retry budget was charged for the next run.
        resumes: Number of resumes since the last chunk.
        resume_at_s: Time of the next resume, in seconds.
        connection_reset: Whether the stream broke by a connection reset.
        not_before_s: Time before which it is not started again, in seconds.
        latest_start_s: Latest start with which it can still finish in time,
            as last computed, in seconds.
        broadcast: Id of the broadcast that requests its run as a crash
            suspect; empty for none.
        run_approved: Whether the peers agreed that it runs as a suspect.
        run_started_s: Start of the current run, in seconds.
        run_before_crash_s: Seconds that it had run when its server crashed;
            None if none crashed. 0 for a suspect that was submitted again.
        excluded_servers: Servers on which it failed.
        caller_disconnected: Whether its caller closed the connection.
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
        """Kind and model, which identify the servers that can run it."""
        return self.spec.kind, self.spec.model

    @property
    def can_run_again(self) -> bool:
        """Whether another run may replace the current one."""
        if not self.may_have_run:
            return True
        if not self.spec.repeatable:
            return False
        return not (self.spec.streamed and self.delivered)
