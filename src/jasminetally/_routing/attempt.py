"""Attempt to get the answer of a request from a backend server."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Attempt:
    """Attempt in flight: a run of a request, or the resume of its stream.

    Attributes:
        attempt: Id of the attempt, echoed by the server.
        request: Id of the request.
        server: Id of the server.
        resumed: Whether it resumes an existing stream.
        started_s: Time of the start, in seconds.
        last_progress_s: Time of the last chunk or acknowledgement, in
            seconds.
        next_index: Index of the next expected chunk.
        predicted_first_token_s: Predicted seconds until the first chunk.
        predicted_run_s: Predicted seconds until the end of an answer of
            ``max_tokens``.
        first_chunk_delay_s: Seconds by which the first chunk came later than
            predicted; negative if it came earlier.
        acknowledges: Whether the server acknowledges requests before their
            first chunk, so that a missing acknowledgement means a dead
            connection.
        acknowledged: Whether the server acknowledged the request.
        progressed: Whether a chunk arrived on this attempt.
        reduced_timeout: Whether the shorter idle timeout applies, because
            another connection to the server went silent.
        next_check_s: Time of the next timeout check, in seconds.
    """

    attempt: str
    request: str
    server: str
    resumed: bool
    started_s: float
    last_progress_s: float
    next_index: int = 0
    predicted_first_token_s: float = 0.0
    predicted_run_s: float = 0.0
    first_chunk_delay_s: float = 0.0
    acknowledges: bool = False
    acknowledged: bool = False
    progressed: bool = False
    reduced_timeout: bool = False
    next_check_s: float = 0.0
