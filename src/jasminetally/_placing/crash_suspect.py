"""What requests that crash backend servers may have in common.

A suspect is named by a text, under which routers count crashes and tell each
other about them: the fingerprint of a whole request, or the name of a part of
prompts.
"""

from __future__ import annotations

import hashlib

from jasminetally._placing import prompt_part

PART_PREFIX = "part-"
MODEL_DIGEST_BYTES = 4
# Crashes in a row after which requests are refused. A single one may have been
# caused by another request at the server. Parts of prompts need one more, since
# refusing a harmless one affects all requests that share it.
CONTENT_BLOCKING_CRASHES = 2
PART_BLOCKING_CRASHES = 3
# Seconds after a crash during which further ones are not counted for a part.
# Harmless requests that share it get this time to be answered, which clears it,
# also where servers crash one right after the other.
PART_CRASH_GAP_S = 0.5


def name_part(model: bytes, part: prompt_part.PromptPart) -> str:
    """Return the suspect for a part of prompts of one model.

    Args:
        model: Name of the model.
        part: The part.
    """
    digest = hashlib.blake2b(model, digest_size=MODEL_DIGEST_BYTES).hexdigest()
    return f"{PART_PREFIX}{digest}-{part.part_id}"


def blocking_crashes(suspect: str) -> int:
    """Return the crashes in a row after which requests are refused."""
    if suspect.startswith(PART_PREFIX):
        return PART_BLOCKING_CRASHES
    return CONTENT_BLOCKING_CRASHES


def crash_gap_s(suspect: str) -> float:
    """Return the seconds after a crash in which no further one is counted."""
    return PART_CRASH_GAP_S if suspect.startswith(PART_PREFIX) else 0.0
