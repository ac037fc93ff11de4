"""Timing, limits and injected faults of the engine stand-in."""

from __future__ import annotations

from typing import NamedTuple


class EngineBehaviour(NamedTuple):
    """Behaviour of one engine; every field can be changed while it runs.

    The field names are the JSON keys of ``POST /admin/faults``.

    Attributes:
        step_s: Fixed part of the duration of a decoding step, in seconds.
        step_per_sequence_s: Seconds that each sequence of the batch adds to
            the duration of a decoding step.
        prefill_tokens_per_s: Rate at which uncached prompt tokens are
            processed before decoding starts.
        batch_limit: Maximum number of sequences decoded in one step; the
            others wait in order of priority.
        answer_tokens: Tokens of an answer unless ``max_tokens`` is smaller.
        prefix_blocks: Capacity of the prefix cache in blocks.
        load_lag_s: Minimum age of the load report, in seconds.
        cache_event_lag_s: Seconds until a cache event can be read.
        cache_event_loss: Share of cache events that are never published, from
            0 to 1.
        keep_streams_s: Seconds after its end during which a stream can still
            be resumed.
        load_model_s: Seconds that an order of any kind takes.
        checks_fencing: Whether an order is refused if its fencing number is
            lower than one already accepted.
        draining: Whether new requests are refused as not run.
        crash_marker: A prompt that contains this text crashes the engine;
            empty for none.
        restart_s: Seconds after a crash during which the engine refuses all
            work.
        silent_epoch: Number whose change silences all open event streams:
            their connections stay open and deliver nothing for a long time
            (``engine_server.MAX_SILENCE_S``). Streams opened later work.
    """

    step_s: float = 0.005
    step_per_sequence_s: float = 0.0001
    prefill_tokens_per_s: float = 20000.0
    batch_limit: int = 64
    answer_tokens: int = 16
    prefix_blocks: int = 512
    load_lag_s: float = 0.5
    cache_event_lag_s: float = 0.5
    cache_event_loss: float = 0.1
    keep_streams_s: float = 120.0
    load_model_s: float = 0.2
    checks_fencing: bool = True
    draining: bool = False
    crash_marker: str = "crash-the-engine"
    restart_s: float = 1.0
    silent_epoch: int = 0
