"""One run of ``apply``: records a manifest by a conditional update."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._config import applied_revision
from jasminetally._config import apply_effects
from jasminetally._config import apply_events
from jasminetally._config import apply_result
from jasminetally._config import config_codec
from jasminetally._config import difference
from jasminetally._config import manifest as manifest_module
from jasminetally._config import stored_config
from jasminetally._config import top_up_check

Event = apply_events.ConfigRead | apply_events.WriteCompleted
Effect = (
    apply_effects.ReadConfig
    | apply_effects.WriteConfig
    | apply_effects.FinishRun
)

RETRY_DELAY_S = 0.5
# A read of a revision below ``based_on`` is assumed to be stale and is repeated
# for this time; after it, the manifest is rejected.
STALE_READ_LIMIT_S = 3.0
# Earlier writes listed in the stored object. At the target size's 41,000
# changes a day, 64 writes cover two minutes.
MAX_HISTORY_ENTRIES = 64
_MAX_SHOWN_DIFFERENCES = 20

_Outcome = apply_result.ApplyOutcome


class ApplyRun:
    """State machine that records one manifest.

    The write is conditional on the version of the object that was read, and
    the revision in that object has to be the one that the manifest is based
    on. If a write gets no reply, the run looks for its operation identifier
    in the stored history. It sends the write again only with the same content
    and the same condition, so that at most one of the two takes effect.
    """

    def __init__(
        self,
        *,
        manifest: manifest_module.Manifest,
        operation: str,
        applied_by: str,
        applied_at_s: float,
        deadline_s: float,
    ) -> None:
        """Prepare a run.

        Args:
            manifest: Manifest to record.
            operation: Unique identifier of this run.
            applied_by: Operator or pipeline that runs it.
            applied_at_s: Current time, seconds since 1970 UTC.
            deadline_s: ``now_s`` after which the run ends instead of retrying
                a failed read or write.
        """
        self._manifest = manifest
        self._operation = operation
        self._applied_by = applied_by
        self._applied_at_s = applied_at_s
        self._deadline_s = deadline_s
        self._may_be_written = False
        self._conflict_count = 0
        self._stale_read_deadline_s: float | None = None

    def start(self) -> list[Effect]:
        """Return the first effect."""
        return [apply_effects.ReadConfig()]

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle the result of an effect.

        Args:
            event: Result of the previous effect.
            now_s: Monotonic time in seconds.

        Returns:
            One effect, which the caller carries out next.
        """
        match event:
            case apply_events.ConfigRead(failed=True):
                return [self._retry_or_finish(now_s)]
            case apply_events.ConfigRead(value=value, version=version):
                return [self._on_config_read(value, version, now_s)]
            case apply_events.WriteCompleted(failure=None):
                return [self._finish_recorded(())]
            case apply_events.WriteCompleted(failure=failure):
                return [self._on_write_failure(failure, now_s)]

    def _on_write_failure(
        self, failure: apply_events.WriteFailure, now_s: float
    ) -> Effect:
        if failure is apply_events.WriteFailure.CONFLICT:
            self._conflict_count += 1
            # After a further conflict the read was stale: it returned a
            # version that had already been replaced. Wait before the next.
            if self._conflict_count == 1:
                return apply_effects.ReadConfig()
        if failure is apply_events.WriteFailure.UNKNOWN:
            self._may_be_written = True
        return self._retry_or_finish(now_s)

    def _on_config_read(
        self, value: bytes | None, version: int, now_s: float
    ) -> Effect:
        offered = self._manifest
        try:
            recorded = None if value is None else config_codec.decode(value)
        except _errors.SettingsError as exc:
            return self._finish(_Outcome.REJECTED, 0, str(exc))
        revision = recorded.revision if recorded else 0
        if recorded is not None and self._has_written(recorded):
            return self._finish_recorded(())
        if recorded is not None and recorded.manifest == offered:
            return self._finish_recorded(
                (
                    "The same manifest was already recorded by an earlier run "
                    f"of {recorded.applied_by}.",
                )
            )
        if revision < offered.based_on:
            if self._stale_read_deadline_s is None:
                self._stale_read_deadline_s = now_s + STALE_READ_LIMIT_S
            if now_s < min(self._stale_read_deadline_s, self._deadline_s):
                # Either the read is stale, or the revision that the manifest
                # is based on was never recorded.
                return apply_effects.ReadConfig(RETRY_DELAY_S)
            return self._finish(
                _Outcome.REJECTED,
                revision,
                f"based_on: found {offered.based_on}; accepted: {revision}, "
                "the recorded revision",
            )
        if revision > offered.based_on:
            return self._on_later_revision(recorded)
        return self._build_write(recorded, version)

    def _build_write(
        self, recorded: stored_config.StoredConfig | None, version: int
    ) -> Effect:
        history: tuple[applied_revision.AppliedRevision, ...] = ()
        if recorded is not None:
            faults = top_up_check.check_top_ups(
                recorded.manifest, self._manifest
            )
            if faults:
                lines = [fault.describe("manifest") for fault in faults]
                return self._finish(
                    _Outcome.REJECTED, recorded.revision, *lines
                )
            history = (*recorded.history, _latest_write(recorded))[
                -MAX_HISTORY_ENTRIES:
            ]
        stored = stored_config.StoredConfig(
            schema=config_codec.SCHEMA,
            revision=self._manifest.revision,
            operation=self._operation,
            applied_by=self._applied_by,
            applied_at_s=self._applied_at_s,
            manifest=self._manifest,
            history=history,
        )
        try:
            value = config_codec.encode(stored)
        except _errors.SettingsError as exc:
            return self._finish(_Outcome.REJECTED, 0, str(exc))
        return apply_effects.WriteConfig(value, version)

    def _on_later_revision(
        self, recorded: stored_config.StoredConfig
    ) -> Effect:
        writes = (*recorded.history, _latest_write(recorded))
        based_on = self._manifest.based_on
        later_writes = [write for write in writes if write.revision > based_on]
        # Whether the history reaches back to the write that followed
        # ``based_on``.
        complete = len(later_writes) < len(writes) or based_on == 0
        if self._may_be_written and not complete:
            return self._finish(
                _Outcome.UNKNOWN,
                recorded.revision,
                f"The write got no reply, and the {len(writes)} latest "
                "writes that the platform lists do not reach back to "
                f"revision {based_on}; compare the recorded manifest with "
                "yours to find out whether the write took effect.",
            )
        winner = later_writes[0]
        return self._finish(
            _Outcome.LOST_RACE,
            recorded.revision,
            *self._describe_lost_race(winner, recorded),
        )

    def _describe_lost_race(
        self,
        winner: applied_revision.AppliedRevision,
        recorded: stored_config.StoredConfig,
    ) -> list[str]:
        differences = difference.find_differences(
            recorded.manifest, self._manifest
        )
        shown = [
            found.describe() for found in differences[:_MAX_SHOWN_DIFFERENCES]
        ]
        if len(differences) > len(shown):
            shown.append(
                f"and {len(differences) - len(shown)} more differences"
            )
        return [
            f"Revision {winner.revision} by {winner.applied_by} was recorded "
            f"on top of revision {self._manifest.based_on} first.",
            f"The recorded revision is {recorded.revision} by "
            f"{recorded.applied_by}. Make the manifest for that revision and "
            "apply it again. Differences:",
            *(shown or ["only the revision differs"]),
        ]

    def _has_written(self, recorded: stored_config.StoredConfig) -> bool:
        """Return whether a write of this run is in the stored history."""
        return any(
            write.operation == self._operation
            for write in (*recorded.history, _latest_write(recorded))
        )

    def _finish_recorded(self, lines: tuple[str, ...]) -> Effect:
        return self._finish(_Outcome.RECORDED, self._manifest.revision, *lines)

    def _retry_or_finish(self, now_s: float) -> Effect:
        """Read the object again, or end the run after its deadline."""
        if now_s < self._deadline_s:
            return apply_effects.ReadConfig(RETRY_DELAY_S)
        if self._may_be_written:
            return self._finish(
                _Outcome.UNKNOWN,
                0,
                "The write got no reply from the platform and may have taken "
                "effect; run the command again with the same manifest to "
                "find out.",
            )
        return self._finish(
            _Outcome.NOT_APPLIED,
            0,
            "The platform could not be reached or refused the request; "
            "nothing was written.",
        )

    @staticmethod
    def _finish(outcome: _Outcome, revision: int, *lines: str) -> Effect:
        return apply_effects.FinishRun(
            apply_result.ApplyResult(outcome, revision, lines)
        )


def _latest_write(
    recorded: stored_config.StoredConfig,
) -> applied_revision.AppliedRevision:
    return applied_revision.AppliedRevision(
        recorded.revision, recorded.operation, recorded.applied_by
    )
