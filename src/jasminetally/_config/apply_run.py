"""One run of ``apply``: recording of a manifest by a conditional update."""

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
# Longest time for which a read below ``based_on`` counts as a stale one.
STALE_READ_LIMIT_S = 3.0
# Earlier writes kept in the object. At the 41,000 changes a day of the target
# size, 64 of them reach back two minutes.
MAX_HISTORY_ENTRIES = 64
_MAX_SHOWN_DIFFERENCES = 20

_Outcome = apply_result.ApplyOutcome


class ApplyRun:
    """Decides how one manifest is recorded.

    The write has the version of the object that was read as its condition,
    and the object read has to have the revision that the manifest was made
    for. A write without a reply is looked up by its operation identifier. It
    is sent again only with the same content and the same condition, under
    which at most one of the two can take effect.
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
            operation: Identifier of this run, unique.
            applied_by: Who runs it.
            applied_at_s: Seconds since 1970 UTC.
            deadline_s: ``now_s`` after which a failing platform ends the run.
        """
        self._manifest = manifest
        self._operation = operation
        self._applied_by = applied_by
        self._applied_at_s = applied_at_s
        self._deadline_s = deadline_s
        self._may_be_written = False
        self._conflicts = 0
        self._stale_until_s: float | None = None

    def start(self) -> list[Effect]:
        """Return the first effect."""
        return [apply_effects.ReadConfig()]

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Take an event and return what has to be done."""
        match event:
            case apply_events.ConfigRead(failed=True):
                return [self._later(now_s)]
            case apply_events.ConfigRead(value=value, version=version):
                return [self._on_read(value, version, now_s)]
            case apply_events.WriteCompleted(failure=None):
                return [self._recorded(())]
            case apply_events.WriteCompleted(failure=failure):
                return [self._on_failure(failure, now_s)]

    def _on_failure(
        self, failure: apply_events.WriteFailure, now_s: float
    ) -> Effect:
        if failure is apply_events.WriteFailure.CONFLICT:
            self._conflicts += 1
            # The second conflict in a row comes from a stale read.
            if self._conflicts == 1:
                return apply_effects.ReadConfig()
        if failure is apply_events.WriteFailure.UNKNOWN:
            self._may_be_written = True
        return self._later(now_s)

    def _on_read(
        self, value: bytes | None, version: int, now_s: float
    ) -> Effect:
        mine = self._manifest
        try:
            recorded = None if value is None else config_codec.decode(value)
        except _errors.SettingsError as exc:
            return self._finish(_Outcome.REJECTED, 0, str(exc))
        revision = recorded.revision if recorded else 0
        if recorded is not None and self._is_recorded(recorded):
            return self._recorded(())
        if recorded is not None and recorded.manifest == mine:
            return self._recorded(
                (f"An earlier run by {recorded.applied_by} has recorded it.",)
            )
        if revision < mine.based_on:
            if self._stale_until_s is None:
                self._stale_until_s = now_s + STALE_READ_LIMIT_S
            if now_s < min(self._stale_until_s, self._deadline_s):
                # Either the read is stale or the manifest is ahead.
                return apply_effects.ReadConfig(RETRY_DELAY_S)
            return self._finish(
                _Outcome.REJECTED,
                revision,
                f"based_on: found {mine.based_on}; accepted: {revision}, "
                "the recorded revision",
            )
        if revision > mine.based_on:
            return self._on_later_revision(recorded)
        return self._write(recorded, version)

    def _write(
        self, recorded: stored_config.StoredConfig | None, version: int
    ) -> Effect:
        history: tuple[applied_revision.AppliedRevision, ...] = ()
        if recorded is not None:
            faults = top_up_check.check_top_ups(
                recorded.manifest, self._manifest
            )
            if faults:
                lines = [found.describe("manifest") for found in faults]
                return self._finish(
                    _Outcome.REJECTED, recorded.revision, *lines
                )
            history = (*recorded.history, _note(recorded))[
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
        notes = (*recorded.history, _note(recorded))
        based_on = self._manifest.based_on
        later = [note for note in notes if note.revision > based_on]
        complete = len(later) < len(notes) or based_on == 0
        if self._may_be_written and not complete:
            return self._finish(
                _Outcome.UNKNOWN,
                recorded.revision,
                f"The write had no reply, and the {len(notes)} writes that "
                "the platform remembers are all later ones; compare the "
                "recorded manifest with yours.",
            )
        winner = later[0]
        return self._finish(
            _Outcome.LOST_RACE, recorded.revision, *self._loss(winner, recorded)
        )

    def _loss(
        self,
        winner: applied_revision.AppliedRevision,
        recorded: stored_config.StoredConfig,
    ) -> list[str]:
        found = difference.find_differences(recorded.manifest, self._manifest)
        shown = [part.describe() for part in found[:_MAX_SHOWN_DIFFERENCES]]
        if len(found) > len(shown):
            shown.append(f"and {len(found) - len(shown)} more differences")
        return [
            f"Revision {winner.revision} by {winner.applied_by} was recorded "
            f"on top of revision {self._manifest.based_on} first.",
            f"The recorded revision is {recorded.revision} by "
            f"{recorded.applied_by}. Make the manifest for that revision and "
            "apply it again. What differs:",
            *(shown or ["nothing but the revision"]),
        ]

    def _is_recorded(self, recorded: stored_config.StoredConfig) -> bool:
        return any(
            note.operation == self._operation
            for note in (*recorded.history, _note(recorded))
        )

    def _recorded(self, lines: tuple[str, ...]) -> Effect:
        return self._finish(_Outcome.RECORDED, self._manifest.revision, *lines)

    def _later(self, now_s: float) -> Effect:
        if now_s < self._deadline_s:
            return apply_effects.ReadConfig(RETRY_DELAY_S)
        if self._may_be_written:
            return self._finish(
                _Outcome.UNKNOWN,
                0,
                "The platform did not say whether the write took effect; run "
                "the command again with the same manifest to find out.",
            )
        return self._finish(
            _Outcome.NOT_APPLIED,
            0,
            "The platform could not be reached; nothing was written.",
        )

    @staticmethod
    def _finish(outcome: _Outcome, revision: int, *lines: str) -> Effect:
        return apply_effects.FinishRun(
            apply_result.ApplyResult(outcome, revision, lines)
        )


def _note(
    recorded: stored_config.StoredConfig,
) -> applied_revision.AppliedRevision:
    return applied_revision.AppliedRevision(
        recorded.revision, recorded.operation, recorded.applied_by
    )
