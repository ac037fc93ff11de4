"""Prefix cache of the engine stand-in."""

from __future__ import annotations

import collections
import random
from typing import NamedTuple

import xxhash

BLOCK_WORDS = 16


class CacheEvent(NamedTuple):
    """Published change of the cache; sequence numbers may have gaps."""

    sequence: int
    at_s: float
    prefix: str
    present: bool


class PrefixCache:
    """Least recently used cache of prompt blocks.

    Args:
        rng: Source that decides which events are lost.
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
        """Look up and insert a prompt's blocks; return the cached words."""
        cached_words = 0
        still_cached = True
        for prefix in prefix_hashes(prompt):
            still_cached = still_cached and prefix in self._blocks
            cached_words += BLOCK_WORDS if still_cached else 0
            self._insert(prefix, capacity_blocks, event_loss, now_s)
        return cached_words

    def export_prefixes(self) -> list[str]:
        """Return the hashes of all cached blocks."""
        return list(self._blocks)

    def import_prefixes(
        self,
        prefixes: list[str],
        *,
        capacity_blocks: int,
        event_loss: float,
        now_s: float,
    ) -> None:
        """Insert blocks that another engine exported."""
        for prefix in prefixes:
            self._insert(prefix, capacity_blocks, event_loss, now_s)

    def events(self, after: int, visible_before_s: float) -> list[CacheEvent]:
        """Return events after a sequence number that are old enough."""
        return [
            event
            for event in list(self._events)
            if event.sequence > after and event.at_s <= visible_before_s
        ]

    def _insert(
        self, prefix: str, capacity_blocks: int, event_loss: float, now_s: float
    ) -> None:
        known = prefix in self._blocks
        self._blocks[prefix] = None
        self._blocks.move_to_end(prefix)
        if not known:
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
    """Return a hash for each leading run of whole blocks of the prompt."""
    words = prompt.split()
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        digest.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        hashes.append(digest.hexdigest())
    return hashes
