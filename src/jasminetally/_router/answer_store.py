"""Answers and records that the platform keeps for requests with a key."""

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

# Reads of account records for requests with a key, for the whole fleet. The
# platform allows about 2,000 reads a second, watches included.
MAX_FLEET_READS_PER_S = 500.0


class AnswerStore:
    """Read and write the platform objects that outlive a router.

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
        """Share the reads between this many routers."""
        with self._lock:
            self._read_limiter.set_rate(MAX_FLEET_READS_PER_S / max(1, count))

    def read_record(
        self, account: str
    ) -> tuple[account_record.AccountRecord, int] | None:
        """Return an account's record and version, or None.

        None also stands for a read that failed or exceeds this router's
        share; the request then runs and is settled as a duplicate at worst.
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
        """Return a stored answer, or None."""
        try:
            return self._platform.get(_answer_key(account, key_hash)).value
        except _errors.PlatformError:
            return None

    def save_answer(self, account: str, key_hash: str, body: bytes) -> bool:
        """Store an answer; return whether it is stored."""
        try:
            self._platform.create(_answer_key(account, key_hash), body)
        except _errors.VersionConflictError:
            return True
        except _errors.OutcomeUnknownError:
            return self.find_answer(account, key_hash) == body
        except _errors.PlatformError as exc:
            logger.warning("route: answer not stored: {}", exc)
            return False
        return True


def _answer_key(account: str, key_hash: str) -> str:
    return f"answer/{account}/{key_hash}"
