"""Recovery of one account record in the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._ledger import record_codec
from jasminetally._recovery import account_effects

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import recovery_report
    from jasminetally._recovery import account_reclaim


class ReclaimDriver:
    """Executes the reads and writes that recover one account record."""

    def __init__(
        self,
        sim: budget_simulation.BudgetSimulation,
        process: host.Host,
        reclaim: account_reclaim.AccountReclaim,
        report: recovery_report.RecoveryReport,
        on_done: Callable[[str], None],
    ) -> None:
        self._sim = sim
        self._process = process
        self._reclaim = reclaim
        self._recovery_report = report
        self._on_done = on_done

    def start(self) -> None:
        """Start with a read of the record."""
        self._run_effect(self._reclaim.start())

    def _run_effect(self, effect: account_effects.AccountEffect) -> None:
        platform = self._sim.platform
        match effect:
            case account_effects.ReadAccount():
                self._process.call_after(
                    effect.after_s,
                    platform.get,
                    self._process,
                    f"account/{effect.account}",
                    self._on_read,
                )
            case account_effects.WriteAccount():
                platform.write(
                    self._process,
                    f"account/{effect.account}",
                    effect.value,
                    effect.expected_version,
                    lambda result: self._on_written(effect.value, result),
                )
            case account_effects.AccountReclaimed():
                self._on_done(effect.account)

    def _on_read(self, result: object) -> None:
        now_s = self._process.now_s
        match result:
            case _errors.NotFoundError():
                self._run_effect(self._reclaim.on_read(None, 0, now_s))
            case _errors.PlatformError():
                self._run_effect(self._reclaim.on_written(conflict=False))
            case read_entry:
                record = self._sim.observer.decode(
                    read_entry.key, read_entry.version, read_entry.value
                )
                self._run_effect(
                    self._reclaim.on_read(record, read_entry.version, now_s)
                )

    def _on_written(self, value: bytes, result: object) -> None:
        if isinstance(result, int) and self._reclaim.record is not None:
            self._recovery_report.add(
                self._reclaim.record, record_codec.decode(value)
            )
        conflict = isinstance(result, _errors.VersionConflictError)
        self._run_effect(self._reclaim.on_written(conflict=conflict))
