"""Report on the recovery of a dead router's grants."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._ledger import account_record


@dataclasses.dataclass(slots=True)
class RecoveryReport:
    """Report on the recovery of a dead router's grants.

    Attributes:
        complete: Whether the first recovery had every journal entry.
        freed_tokens: Tokens that became free.
        billed_tokens: Tokens billed for finished requests.
        unbilled_tokens: Tokens recorded as unbilled. Those of them that were
            not used stay unusable.
        done_after_s: Seconds from the death to the end of the first recovery,
            or None if there was none.
        attempts: Number of routers that started to reclaim the grants.
    """

    complete: bool = False
    freed_tokens: int = 0
    billed_tokens: int = 0
    unbilled_tokens: int = 0
    done_after_s: float | None = None
    attempts: int = 0

    def add(
        self,
        before: account_record.AccountRecord,
        after: account_record.AccountRecord,
    ) -> None:
        """Count the changes of one account record by its recovery."""
        for name, budget in after.budgets.items():
            previous = before.budgets[name]
            self.freed_tokens += budget.free - previous.free
            self.billed_tokens += budget.settled - previous.settled
            self.unbilled_tokens += budget.unbilled - previous.unbilled
