"""Short seeded soaks, and the seeds that failed once.

More seeds are played by hand: ``python -m testing.soak.soak --seeds 1-50``.
"""

from __future__ import annotations

import asyncio

import pytest

from testing.soak import soak

# Seed, and the cause of what it broke.
REGRESSIONS = {
    10: "the soak waited for a router that an overlapping stop had replaced",
    17: "a change of settings ended a router that was starting",
}


@pytest.mark.process
@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_under_seeded_faults(seed, tmp_path):
    """Guards against promises that break under overlapping faults.

    Plays real routers as processes with kills, stops, pauses, lost and silent
    connections, outages of the store and faulty servers.
    """
    result = asyncio.run(soak.run_seed(seed, folder=tmp_path))
    assert not result.violations, result.describe()
    assert result.outcomes[200] > 0
