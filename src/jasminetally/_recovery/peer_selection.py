"""Choice of the peers that hold a journal."""

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
    """Fill up the peers, preferring data centres that are not used yet.

    A data centre that fails takes the writer and every peer in it along, so
    the writer's own data centre comes last.

    Args:
        kept: Peers that stay.
        candidates: Incarnation of each reachable router and its data centre.
        data_centre: Data centre of the writer.
        count: Number of peers wanted.
        rng: Random source.
    """
    chosen = list(kept)
    rest = sorted(each for each in candidates if each not in chosen)
    rng.shuffle(rest)
    while rest and len(chosen) < count:
        used = {candidates.get(each) for each in chosen}
        rest.sort(
            key=lambda each: (
                candidates[each] == data_centre,
                candidates[each] in used,
            )
        )
        chosen.append(rest.pop(0))
    return tuple(chosen)
