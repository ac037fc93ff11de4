"""Choice of the routers for callers by the services that they reach."""

from __future__ import annotations

from collections.abc import Mapping

# Share of the routers that must reach more than the rest for callers to be sent
# to these only. If fewer do, the servers of a service have probably failed, and
# all callers would be too many for the routers that have not noticed yet.
MIN_REACHING_RATIO = 0.5


def select_reaching(unreachable: Mapping[str, frozenset[str]]) -> list[str]:
    """Return the routers that reach all services that any router reaches.

    Args:
        unreachable: The services of which each router reaches no server, by
            the name of its instance.

    Returns:
        Names of instances; all of them if less than ``MIN_REACHING_RATIO``
        would be left.
    """
    if not unreachable:
        return []
    everywhere = frozenset.intersection(*unreachable.values())
    reaching = [
        node for node, services in unreachable.items() if services <= everywhere
    ]
    if len(reaching) < MIN_REACHING_RATIO * len(unreachable):
        return list(unreachable)
    return reaching
