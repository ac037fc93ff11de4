"""Short seeded soaks, and soaks of the seeds that failed once.

More seeds are run by hand: ``python -m testing.soak.soak --seeds 1-50``.
"""

from __future__ import annotations

import asyncio

import pytest

from testing.soak import defects
from testing.soak import soak

# Seeds that violated a guarantee, each with the cause.
REGRESSIONS = {
    10: "the soak waited for a router that an overlapping stop had replaced",
    902: "streams went on at the version that an earlier process had",
    17: "SIGHUP for a change of settings ended a router that was starting",
}


@pytest.mark.process
@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_guarantees_hold_under_seeded_faults(seed, tmp_path):
    """Guards against guarantees that are violated under overlapping faults.

    Runs real router processes with kills, stops, pauses, lost and silent
    connections, store outages and faulty backend servers.
    """
    result = asyncio.run(soak.run_seed(seed, folder=tmp_path))
    assert not result.violations, result.describe()
    assert result.outcomes[200] > 0


@pytest.mark.process
def test_defect_is_found(tmp_path):
    """Guards against a soak that is silent whatever the routers do.

    Issue 41: routes that a change adds were never served in 0 of 6 seeds.
    """
    result = asyncio.run(
        soak.run_seed(90461, folder=tmp_path, defect="added-routes")
    )
    assert any("answers 404" in text for text in result.violations)


def test_unknown_defect_is_named_with_those_that_exist():
    """Guards against a run of the soak without the defect that was meant."""
    with pytest.raises(ValueError, match="no defect 'none'.*added-routes"):
        defects.find_defect("none")
