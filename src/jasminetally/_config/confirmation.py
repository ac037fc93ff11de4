"""Check of which routers have reported a revision as in force."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from jasminetally._membership import router_status


class Confirmation(NamedTuple):
    """Routers that have and have not reported a revision as in force.

    Attributes:
        confirmed: Instances that have reported the revision or a later one.
        missing: Instances that may still serve an older revision.
    """

    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


def confirm_revision(
    statuses: Iterable[router_status.RouterStatus], revision: int
) -> Confirmation:
    """Return which routers have reported a revision as in force.

    Every router that has a status object counts, whether or not the
    platform's list names it, because the list lags behind. A starting router
    counts as well: it may have read an older revision and be about to serve
    it. An incarnation no longer counts once a router has acknowledged its
    death, which takes evidence and not merely silence.

    Args:
        statuses: Status objects of all routers.
        revision: Revision that was recorded.
    """
    statuses = list(statuses)
    dead = {death for status in statuses for death in status.deaths}
    confirmed, missing = [], []
    for status in statuses:
        if status.incarnation in dead:
            continue
        if status.revision >= revision:
            confirmed.append(status.instance)
        else:
            missing.append(status.instance)
    return Confirmation(tuple(sorted(confirmed)), tuple(sorted(missing)))
