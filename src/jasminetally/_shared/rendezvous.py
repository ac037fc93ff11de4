"""Rendezvous hashing: which instance is responsible for a key."""

from __future__ import annotations

from collections.abc import Iterable
import math

import xxhash


def choose(key: str, instances: Iterable[str]) -> str | None:
    """Return the instance responsible for a key; None without instances.

    Removing an instance moves only the keys that it was responsible for.
    """
    return max(instances, key=lambda one: (weight(key, one), one), default=None)


def weight(key: str, instance: str) -> int:
    """Return the weight of an instance for a key, 64 bits."""
    return xxhash.xxh3_64_intdigest(f"{instance}\0{key}".encode())


def share(key: str, instance: str) -> float:
    """Return the weight of an instance for a key, from 0 to below 1."""
    return math.ldexp(weight(key, instance) >> 11, -53)


class Assignment:
    """Responsible instance of many keys, kept up to date by steps.

    A full computation for 12,000 engines and 370 instances takes seconds; a
    change of one instance takes one weight for each key, or one for each
    instance for the keys that the instance had.
    """

    def __init__(self) -> None:
        self._instances: set[str] = set()
        self._owners: dict[str, str | None] = {}

    def owner(self, key: str) -> str | None:
        """Return the instance responsible for a key."""
        return self._owners.get(key)

    def keys_of(self, instance: str) -> list[str]:
        """Return the keys that an instance is responsible for."""
        return [key for key, owner in self._owners.items() if owner == instance]

    def set_keys(self, keys: Iterable[str]) -> None:
        """Replace the keys."""
        self._owners = {
            key: self._owners[key]
            if key in self._owners
            else choose(key, self._instances)
            for key in keys
        }

    def set_instances(self, instances: Iterable[str]) -> None:
        """Replace the instances."""
        wanted = set(instances)
        added, removed = wanted - self._instances, self._instances - wanted
        self._instances = wanted
        for key, owner in self._owners.items():
            if owner is None or owner in removed:
                self._owners[key] = choose(key, wanted)
            elif added:
                self._owners[key] = choose(key, (owner, *added))
