"""Execution of a run of ``apply`` against the platform."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._config import apply_effects
from jasminetally._config import apply_events
from jasminetally._config import apply_result
from jasminetally._config import apply_run
from jasminetally._config import config_codec
from jasminetally._config import confirmation
from jasminetally._membership import status_codec

if TYPE_CHECKING:
    from jasminetally._platform import port

# Wait between two reads of the routers' status objects.
POLL_INTERVAL_S = 0.25

_WriteFailure = apply_events.WriteFailure


class ApplyExecutor:
    """Carries out the effects of a run and waits for the routers to confirm.

    Args:
        platform: Client of the platform.
        clock: Returns monotonic time in seconds.
        sleep: Blocks for a number of seconds.
    """

    def __init__(
        self,
        platform: port.PlatformPort,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._sleep = sleep

    def execute_run(self, run: apply_run.ApplyRun) -> apply_result.ApplyResult:
        """Carry out the effects of a run until it ends.

        Args:
            run: Run that has not been started.

        Returns:
            The result that the run ended with.
        """
        effects = run.start()
        while True:
            (effect,) = effects
            match effect:
                case apply_effects.FinishRun(result):
                    return result
                case apply_effects.ReadConfig(delay_s):
                    self._sleep(delay_s)
                    event = self._read_config()
                case apply_effects.WriteConfig():
                    event = self._write_config(effect)
            effects = run.handle(event, self._clock())

    def wait_until_in_force(
        self, revision: int, *, wait_s: float
    ) -> confirmation.Confirmation | None:
        """Wait until every router that could be serving has confirmed.

        Args:
            revision: Recorded revision to be confirmed.
            wait_s: Longest wait in seconds; the status objects are read at
                least once.

        Returns:
            The last confirmation that was read; None if the status objects
            could not be read or decoded once.
        """
        end_s = self._clock() + wait_s
        latest = None
        while True:
            latest = self._read_confirmation(revision) or latest
            if latest is not None and not latest.missing:
                return latest
            if self._clock() >= end_s:
                return latest
            self._sleep(POLL_INTERVAL_S)

    def _read_confirmation(
        self, revision: int
    ) -> confirmation.Confirmation | None:
        try:
            listing = self._platform.list(status_codec.STATUS_PREFIX)
            statuses = [
                status_codec.decode_status(entry) for entry in listing.entries
            ]
        except _errors.PlatformError:
            return None
        return confirmation.confirm_revision(statuses, revision)

    def _read_config(self) -> apply_events.ConfigRead:
        try:
            entry = self._platform.get(config_codec.CONFIG_KEY)
        except _errors.NotFoundError:
            return apply_events.ConfigRead(None, 0)
        except _errors.PlatformError as exc:
            self._sleep(getattr(exc, "retry_after_s", 0.0))
            return apply_events.ConfigRead(None, 0, failed=True)
        return apply_events.ConfigRead(entry.value, entry.version)

    def _write_config(
        self, effect: apply_effects.WriteConfig
    ) -> apply_events.WriteCompleted:
        key = config_codec.CONFIG_KEY
        try:
            if effect.expected_version:
                self._platform.update(
                    key, effect.value, expected_version=effect.expected_version
                )
            else:
                self._platform.create(key, effect.value)
        except _errors.VersionConflictError:
            return apply_events.WriteCompleted(_WriteFailure.CONFLICT)
        except _errors.OutcomeUnknownError:
            return apply_events.WriteCompleted(_WriteFailure.UNKNOWN)
        except _errors.PlatformError as exc:
            self._sleep(getattr(exc, "retry_after_s", 0.0))
            return apply_events.WriteCompleted(_WriteFailure.NOT_APPLIED)
        return apply_events.WriteCompleted()
