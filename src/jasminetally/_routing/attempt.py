"""One run of a request on a backend server, or one resume of it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Attempt:
    """Attempt whose answer is awaited.

    Attributes:
        attempt: Id that the server echoes.
        request: Request.
        server: Server.
        resumed: Whether it continues a stream.
        started_s: Start in seconds.
        progress_s: Last sign of life in seconds.
        next_index: Index of the next chunk.
        first_token_s: Predicted seconds until the first chunk.
        run_s: Predicted seconds until an answer of the greatest length.
        delay_s: Seconds by which the first chunk came after its prediction.
        acknowledges: Whether the server confirms requests before its first
            chunk, so that a missing confirmation means a dead connection.
        accepted: Whether the server confirmed that it has the request.
        progressed: Whether a chunk arrived on this attempt.
        suspect: Whether a sibling connection went silent.
        check_s: Time of the next check for silence.
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
