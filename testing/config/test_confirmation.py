"""Tests of the confirmation that a revision is in force."""

from __future__ import annotations

from jasminetally._config import confirmation
from jasminetally._membership import router_state
from jasminetally._membership import router_status

State = router_state.RouterState


def status(instance, revision, state=State.READY, deaths=()):
    return router_status.RouterStatus(
        instance,
        f"{instance}#1",
        "lj",
        "127.0.0.1:1",
        "127.0.0.1:2",
        state,
        revision,
        deaths,
    )


def test_router_that_could_serve_an_older_revision_is_named():
    """Guards against "in force" while a partitioned router serves on."""
    found = confirmation.confirm_revision(
        [
            status("a", 5),
            status("b", 4),
            status("c", 4, State.DRAINING),
            status("d", 6),
            status("e", 4, State.STARTING),
            status("f", 5, State.STARTING),
        ],
        5,
    )
    assert found.confirmed == ("a", "d", "f")
    assert found.missing == ("b", "c", "e")


def test_only_an_acknowledged_death_excuses_a_router():
    """Guards against a silent router that is taken for a dead one."""
    alive = status("a", 5)
    silent = status("b", 4)
    assert confirmation.confirm_revision([alive, silent], 5).missing == ("b",)
    witness = status("a", 5, deaths=("b#1",))
    assert confirmation.confirm_revision([witness, silent], 5).missing == ()
