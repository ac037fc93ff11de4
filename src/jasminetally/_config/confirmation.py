"""Confirmation that a revision is in force everywhere."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from jasminetally._membership import router_status


class Confirmation(NamedTuple):
    """Which routers have a revision in force.

    Attributes:
        confirmed: Instances that have reported the revision or a later one.
        missing: Instances that could be serving an older revision.
    """

    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


def confirm_revision(
    statuses: Iterable[router_status.RouterStatus], revision: int
) -> Confirmation:
    """Return which routers have a revision in force.

    Every router that has a status object counts, whether the platform's list
    names it or not, because the list lags. A starting router counts too: it
    may have read the older revision and be about to serve. An incarnation
    counts no longer once a router has acknowledged its death, which takes
    evidence and not just silence.

    Args:
        statuses: All status objects.
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
