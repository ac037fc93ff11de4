"""Check that payments which were applied stay as they are."""

from __future__ import annotations

from collections.abc import Iterator

from jasminetally._config import client_account
from jasminetally._config import manifest
from jasminetally._settings import fault

_ACCEPTED = "the top-up as recorded; correct it with a further top-up"


def check_top_ups(
    recorded: manifest.Manifest, offered: manifest.Manifest
) -> list[fault.Fault]:
    """Return the recorded top-ups that an offered manifest lacks or changes.

    Routers credit a top-up once and for good, so a changed one would have no
    effect on the budget and the manifest would state a wrong sum.

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
        found = offered.budgets.get(name) if offered else None
        tokens = {
            payment.id: payment.tokens
            for payment in (found.top_ups if found else ())
        }
        for payment in budget.top_ups:
            if tokens.get(payment.id) == payment.tokens:
                continue
            path = ("client_accounts", recorded.name, "budgets", name)
            yield fault.Fault(
                (*path, "top_ups", payment.id),
                f"{tokens.get(payment.id, 'nothing')} in place of the "
                f"{payment.tokens} tokens that were applied",
                _ACCEPTED,
            )
