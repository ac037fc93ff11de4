"""Answers and account records in the platform's object store."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._ledger import record_codec
from jasminetally._shared import token_bucket

if TYPE_CHECKING:
    from jasminetally._ledger import account_record
    from jasminetally._platform import port

# Limit for the whole fleet on reads of account records for requests with an
# idempotency key. The platform allows about 2,000 reads per second, watches
# included.
MAX_FLEET_READS_PER_S = 500.0


class AnswerStore:
    """Read and write the objects of the store that outlive a router.

    Args:
        platform: Platform.
    """

    def __init__(self, platform: port.PlatformPort) -> None:
        self._platform = platform
        self._lock = threading.Lock()
        self._read_limiter = token_bucket.TokenBucket(
            rate_per_s=MAX_FLEET_READS_PER_S, burst=50.0
        )

    def set_router_count(self, count: int) -> None:
        """Divide the read limit of the fleet by the number of routers."""
        with self._lock:
            self._read_limiter.set_rate(MAX_FLEET_READS_PER_S / max(1, count))

    def read_record(
        self, account: str
    ) -> tuple[account_record.AccountRecord, int] | None:
        """Return the record of a client account and its version, or None.

        None is also returned if the read failed or exceeds this router's share
        of the read limit. The request then runs without knowledge of earlier
        runs, and at worst a second run is settled as unbilled.
        """
        with self._lock:
            if not self._read_limiter.try_take(time.monotonic()):
                return None
        try:
            entry = self._platform.get(f"account/{account}")
            return record_codec.decode(entry.value or b""), entry.version
        except _errors.JasminetallyError:
            return None

    def find_answer(self, account: str, key_hash: str) -> bytes | None:
        """Return a stored answer; None if there is none or the read failed."""
        try:
            return self._platform.get(_answer_key(account, key_hash)).value
        except _errors.PlatformError:
            return None

    def save_answer(self, account: str, key_hash: str, body: bytes) -> bool:
        """Store an answer; return whether it is stored.

        A version conflict counts as stored: the object is created once and
        never changed.
        """
        try:
            self._platform.create(_answer_key(account, key_hash), body)
        except _errors.VersionConflictError:
            return True
        except _errors.OutcomeUnknownError:
            return self.find_answer(account, key_hash) == body
        except _errors.PlatformError as exc:
            logger.warning("route: answer not stored on the platform: {}", exc)
            return False
        return True


def _answer_key(account: str, key_hash: str) -> str:
    return f"answer/{account}/{key_hash}"
