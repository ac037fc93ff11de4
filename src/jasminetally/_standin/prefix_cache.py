"""Prefix cache of the engine stand-in, and its published changes."""

from __future__ import annotations

import collections
import random
from typing import NamedTuple

import xxhash

# Words of a prompt in one block; each word counts as one token.
BLOCK_WORDS = 16


class CacheEvent(NamedTuple):
    """Published change of the cache; the field names are JSON keys.

    Attributes:
        sequence: Number of the change, from 1. A gap means that an event was
            lost.
        at_s: Monotonic time of the change in seconds.
        prefix: Hash of the cached prefix, as ``prefix_hashes`` returns it.
        present: True if the prefix was inserted, False if it was evicted.
    """

    sequence: int
    at_s: float
    prefix: str
    present: bool


class PrefixCache:
    """Cache of prompt prefixes with least-recently-used eviction.

    Not thread-safe.

    Args:
        rng: Random source that decides which events are lost.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=4096
        )
        self._sequence = 0

    def lookup_and_insert(
        self,
        prompt: str,
        *,
        capacity_blocks: int,
        event_loss: float,
        now_s: float,
    ) -> int:
        """Look up a prompt's prefixes and insert those that are missing.

        Args:
            prompt: Text of the prompt.
            capacity_blocks: Maximum number of cached blocks.
            event_loss: Share of events that are lost, from 0 to 1.
            now_s: Monotonic time in seconds.

        Returns:
            The number of words in the longest prefix that was cached before.
        """
        cached_words = 0
        still_cached = True
        for prefix in prefix_hashes(prompt):
            still_cached = still_cached and prefix in self._blocks
            cached_words += BLOCK_WORDS if still_cached else 0
            self._insert(prefix, capacity_blocks, event_loss, now_s)
        return cached_words

    def export_prefixes(self) -> list[str]:
        """Return the hashes of all cached prefixes."""
        return list(self._blocks)

    def import_prefixes(
        self,
        prefixes: list[str],
        *,
        capacity_blocks: int,
        event_loss: float,
        now_s: float,
    ) -> None:
        """Insert prefixes that another engine exported.

        Args:
            prefixes: Hashes of the prefixes.
            capacity_blocks: Maximum number of cached blocks.
            event_loss: Share of events that are lost, from 0 to 1.
            now_s: Monotonic time in seconds.
        """
        for prefix in prefixes:
            self._insert(prefix, capacity_blocks, event_loss, now_s)

    def events(self, after: int, visible_before_s: float) -> list[CacheEvent]:
        """Return the published events that a client can read.

        Args:
            after: Sequence number of the last event that the client knows.
            visible_before_s: Monotonic time in seconds; later events are left
                out.
        """
        return [
            event
            for event in list(self._events)
            if event.sequence > after and event.at_s <= visible_before_s
        ]

    def _insert(
        self, prefix: str, capacity_blocks: int, event_loss: float, now_s: float
    ) -> None:
        already_cached = prefix in self._blocks
        self._blocks[prefix] = None
        self._blocks.move_to_end(prefix)
        if not already_cached:
            self._publish(prefix, True, event_loss, now_s)
        while len(self._blocks) > capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, False, event_loss, now_s)

    def _publish(
        self, prefix: str, present: bool, event_loss: float, now_s: float
    ) -> None:
        self._sequence += 1
        if self._rng.random() >= event_loss:
            self._events.append(
                CacheEvent(self._sequence, now_s, prefix, present)
            )


def prefix_hashes(prompt: str) -> list[str]:
    """Return one hash per whole block, of the prompt up to the block's end."""
    words = prompt.split()
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        digest.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        hashes.append(digest.hexdigest())
    return hashes
