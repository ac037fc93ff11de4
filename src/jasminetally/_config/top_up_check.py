"""Check that an offered manifest keeps the top-ups already applied."""

from __future__ import annotations

from collections.abc import Iterator

from jasminetally._config import client_account
from jasminetally._config import manifest
from jasminetally._settings import fault

_ACCEPTED_TOP_UP = "the top-up as recorded; correct it with a further top-up"


def check_top_ups(
    recorded: manifest.Manifest, offered: manifest.Manifest
) -> list[fault.Fault]:
    """Return a fault for each recorded top-up that is missing or changed.

    Routers credit a top-up only once. A changed one would have no effect on
    the budget, and the manifest would state a wrong sum.

    Args:
        recorded: Manifest in ``config/current``.
        offered: Manifest to apply.
    """
    faults: list[fault.Fault] = []
    for name, account in recorded.client_accounts.items():
        faults += _check_account(account, offered.client_accounts.get(name))
    return faults


def _check_account(
    recorded: client_account.ClientAccount,
    offered: client_account.ClientAccount | None,
) -> Iterator[fault.Fault]:
    for name, budget in recorded.budgets.items():
        offered_budget = offered.budgets.get(name) if offered else None
        offered_tokens = {
            top_up.id: top_up.tokens
            for top_up in (offered_budget.top_ups if offered_budget else ())
        }
        for top_up in budget.top_ups:
            if offered_tokens.get(top_up.id) == top_up.tokens:
                continue
            path = ("client_accounts", recorded.name, "budgets", name)
            yield fault.Fault(
                (*path, "top_ups", top_up.id),
                f"{offered_tokens.get(top_up.id, 'nothing')} in place of the "
                f"{top_up.tokens} tokens that were applied",
                _ACCEPTED_TOP_UP,
            )
