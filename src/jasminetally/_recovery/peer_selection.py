"""Selection of the peers that hold a journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random


def select_peers(
    kept: Iterable[str],
    candidates: dict[str, str],
    *,
    data_centre: str,
    count: int,
    rng: random.Random,
) -> tuple[str, ...]:
    """Add peers to the kept ones, preferring unused data centres.

    The failure of a data centre stops the writer and all peers in it, so
    candidates in the writer's own data centre are selected last.

    Args:
        kept: Incarnations of the peers that stay.
        candidates: Incarnation of each reachable router -> its data centre.
        data_centre: Data centre of the writer.
        count: Number of peers wanted.
        rng: Random source; orders candidates that are equally suitable.

    Returns:
        The kept and the added peers; fewer than ``count`` if there are not
        enough candidates.
    """
    selected = list(kept)
    remaining = sorted(peer for peer in candidates if peer not in selected)
    rng.shuffle(remaining)
    while remaining and len(selected) < count:
        used = {candidates.get(peer) for peer in selected}
        remaining.sort(
            key=lambda peer: (
                candidates[peer] == data_centre,
                candidates[peer] in used,
            )
        )
        selected.append(remaining.pop(0))
    return tuple(selected)
