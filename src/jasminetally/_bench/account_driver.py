"""Run one client account's budget manager in the budget bench."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._budget import known_results
from jasminetally._budget import manager
from jasminetally._budget import platform_effects
from jasminetally._budget import unknown_result

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from jasminetally._bench import fake_platform
    from jasminetally._bench import host
    from jasminetally._bench import ledger_observer
    from jasminetally._budget import effect
    from jasminetally._ledger import account_record
    from jasminetally._platform import entry

# Shortest time between two ticks of a budget manager, as in the daemon.
TICK_INTERVAL_S = 0.02


class AccountDriver:
    """Executes a budget manager's platform effects and calls its ticks.

    As in the daemon, account records are not watched on the platform: a
    manager learns of a record only when it reads or writes it.

    Attributes:
        manager: Budget manager of the account.
    """

    def __init__(
        self,
        process: host.Host,
        platform: fake_platform.FakePlatform,
        observer: ledger_observer.LedgerObserver,
        budget_manager: manager.BudgetManager,
        *,
        account: str,
        on_effect: Callable[[AccountDriver, effect.Effect], None],
        on_record: Callable[[str, account_record.AccountRecord], None],
    ) -> None:
        self.manager = budget_manager
        self._process = process
        self._platform = platform
        self._observer = observer
        self._account = account
        self._key = f"account/{account}"
        self._on_effect = on_effect
        self._on_record = on_record
        self._version = 0
        self._next_tick_s = float("inf")
        self.schedule_tick()

    def run_effects(self, effects: Iterable[effect.Effect]) -> None:
        """Execute effects and schedule the next tick."""
        for each in effects:
            match each:
                case platform_effects.ReadRecord():
                    self._platform.get(self._process, self._key, self._on_read)
                case platform_effects.WriteRecord():
                    self._platform.write(
                        self._process,
                        self._key,
                        each.value,
                        each.expected_version,
                        functools.partial(self._on_written, each.value),
                    )
                case _:
                    self._on_effect(self, each)
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedule the next tick unless an earlier one is scheduled."""
        now_s = self._process.now_s
        due_s = max(self.manager.next_tick_s(now_s), now_s + TICK_INTERVAL_S)
        if self._next_tick_s > now_s and due_s >= self._next_tick_s:
            return
        self._next_tick_s = due_s
        self._process.call_after(due_s - now_s, self._tick, due_s)

    def _tick(self, due_s: float) -> None:
        if due_s != self._next_tick_s:
            return
        self._next_tick_s = float("inf")
        self.run_effects(self.manager.tick(self._process.now_s))

    def _on_read(self, result: object) -> None:
        now_s = self._process.now_s
        match result:
            case _errors.NotFoundError():
                self.run_effects(self.manager.on_record(None, 0, now_s))
            case _errors.RateLimitedError():
                self.run_effects(
                    self.manager.on_read_failed(now_s, result.retry_after_s)
                )
            case _errors.PlatformError():
                self.run_effects(self.manager.on_read_failed(now_s))
            case _:
                self._on_entry(result)

    def _on_entry(self, read_entry: entry.Entry) -> None:
        record = self._observer.decode(
            self._key, read_entry.version, read_entry.value
        )
        self._report_record(record, read_entry.version)
        self.run_effects(
            self.manager.on_record(
                record, read_entry.version, self._process.now_s
            )
        )

    def _report_record(
        self, record: account_record.AccountRecord, version: int
    ) -> None:
        if version > self._version:
            self._version = version
            self._on_record(self._account, record)

    def _on_written(self, value: bytes, result: object) -> None:
        match result:
            case int():
                record = self._observer.decode(self._key, result, value)
                self._report_record(record, result)
                outcome = known_results.Written(result)
            case _errors.VersionConflictError():
                outcome = known_results.Conflict()
            case _errors.RateLimitedError():
                outcome = known_results.NotApplied(result.retry_after_s)
            case _errors.OutcomeUnknownError():
                outcome = unknown_result.Unknown()
            case _:
                outcome = known_results.NotApplied()
        self.run_effects(self.manager.on_written(outcome, self._process.now_s))
