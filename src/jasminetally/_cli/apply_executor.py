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

POLL_INTERVAL_S = 0.25

_Failure = apply_events.WriteFailure


class ApplyExecutor:
    """Carries out the effects of a run, and waits for the routers.

    Args:
        platform: Platform.
        clock: Returns monotonic seconds.
        sleep: Waits for a number of seconds.
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
        """Carry out a run to its end."""
        effects = run.start()
        while True:
            (effect,) = effects
            match effect:
                case apply_effects.FinishRun(result):
                    return result
                case apply_effects.ReadConfig(delay_s):
                    self._sleep(delay_s)
                    event = self._read()
                case apply_effects.WriteConfig():
                    event = self._write(effect)
            effects = run.handle(event, self._clock())

    def wait_until_in_force(
        self, revision: int, *, wait_s: float
    ) -> confirmation.Confirmation | None:
        """Wait until no router could serve an older revision.

        Args:
            revision: Revision that was recorded.
            wait_s: Seconds to wait at most.

        Returns:
            The last confirmation; None if no status could be read.
        """
        end_s = self._clock() + wait_s
        found = None
        while True:
            found = self._confirm(revision) or found
            if found is not None and not found.missing:
                return found
            if self._clock() >= end_s:
                return found
            self._sleep(POLL_INTERVAL_S)

    def _confirm(self, revision: int) -> confirmation.Confirmation | None:
        try:
            found = self._platform.list(status_codec.STATUS_PREFIX)
            statuses = [
                status_codec.decode_status(one) for one in found.entries
            ]
        except _errors.PlatformError:
            return None
        return confirmation.confirm_revision(statuses, revision)

    def _read(self) -> apply_events.ConfigRead:
        try:
            found = self._platform.get(config_codec.CONFIG_KEY)
        except _errors.NotFoundError:
            return apply_events.ConfigRead(None, 0)
        except _errors.PlatformError as exc:
            self._sleep(getattr(exc, "retry_after_s", 0.0))
            return apply_events.ConfigRead(None, 0, failed=True)
        return apply_events.ConfigRead(found.value, found.version)

    def _write(
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
            return apply_events.WriteCompleted(_Failure.CONFLICT)
        except _errors.OutcomeUnknownError:
            return apply_events.WriteCompleted(_Failure.UNKNOWN)
        except _errors.PlatformError as exc:
            self._sleep(getattr(exc, "retry_after_s", 0.0))
            return apply_events.WriteCompleted(_Failure.NOT_APPLIED)
        return apply_events.WriteCompleted()
