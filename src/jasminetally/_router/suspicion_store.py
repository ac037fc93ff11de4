"""Suspicions in the platform object ``suspects/current``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger
import msgspec

from jasminetally import _errors
from jasminetally._routing import suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jasminetally._platform import port

STORE_KEY = "suspects/current"
# Number of newest suspicions kept. A crash makes all requests in flight on a
# server suspects.
MAX_SUSPICIONS = 2000
MAX_MERGE_ATTEMPTS = 3

_decoder = msgspec.json.Decoder(list[suspicion.Suspicion])


class SuspicionStore:
    """Merge suspicions into the platform object for routers that start later.

    A failed write is not repeated, since the peers have the suspicions as well.

    Args:
        platform: Platform.
    """

    def __init__(self, platform: port.PlatformPort) -> None:
        self._platform = platform

    def load(self) -> tuple[suspicion.Suspicion, ...]:
        """Return the stored suspicions; none if they can't be read."""
        try:
            return tuple(
                _decoder.decode(self._platform.get(STORE_KEY).value or b"")
            )
        except (_errors.PlatformError, msgspec.MsgspecError):
            return ()

    def add(self, items: Iterable[suspicion.Suspicion]) -> None:
        """Merge suspicions into the object."""
        for _ in range(MAX_MERGE_ATTEMPTS):
            try:
                self._merge(items)
                return
            except _errors.VersionConflictError:
                continue
            except (_errors.PlatformError, msgspec.MsgspecError) as exc:
                logger.info(
                    "route: suspicions not stored on the platform: {}", exc
                )
                return

    def _merge(self, items: Iterable[suspicion.Suspicion]) -> None:
        try:
            entry = self._platform.get(STORE_KEY)
        except _errors.NotFoundError:
            merged = {}
            entry = None
        else:
            merged = {
                item.fingerprint: item
                for item in _decoder.decode(entry.value or b"[]")
            }
        for item in items:
            stored = merged.pop(item.fingerprint, item)
            merged[item.fingerprint] = suspicion.Suspicion(
                item.fingerprint,
                item.crashes | stored.crashes,
                item.cleared | stored.cleared,
            )
        value = msgspec.json.encode(list(merged.values())[-MAX_SUSPICIONS:])
        if entry is None:
            self._platform.create(STORE_KEY, value)
        else:
            self._platform.update(
                STORE_KEY, value, expected_version=entry.version
            )
