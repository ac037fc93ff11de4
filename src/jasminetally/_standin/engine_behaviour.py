"""Settings and faults of the engine stand-in."""

from __future__ import annotations

from typing import NamedTuple


class EngineBehaviour(NamedTuple):
    """Behaviour of one engine; every field can be changed while it runs.

    Attributes:
        step_s: Seconds of one decoding step with one sequence.
        step_per_sequence_s: Seconds that each further sequence adds to a step.
        prefill_tokens_per_s: Rate at which prompt tokens are processed.
        batch_limit: Sequences decoded together; others wait by priority.
        answer_tokens: Tokens of an answer unless ``max_tokens`` is smaller.
        prefix_blocks: Capacity of the prefix cache in blocks.
        load_lag_s: Age of the load report.
        cache_event_lag_s: Age at which cache events become visible.
        cache_event_loss: Share of cache events that are never published.
        keep_streams_s: Seconds that a finished stream can be resumed.
        load_model_s: Seconds that loading a model, adapter or version takes.
        checks_fencing: Refuse orders whose fencing number is too low.
        draining: Refuse new requests as not run.
        crash_marker: A prompt that contains this text crashes the engine.
        restart_s: Seconds that the engine refuses all work after a crash.
        silent_epoch: Streams opened while a lower number was set send no more.
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
