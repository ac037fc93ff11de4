"""Tests of which routers have confirmed that a revision is in force."""

from __future__ import annotations

from jasminetally._config import confirmation
from jasminetally._membership import router_state
from jasminetally._membership import router_status

State = router_state.RouterState


def make_status(instance, revision, state=State.READY, deaths=()):
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


def test_routers_that_may_serve_an_older_revision_are_missing():
    """Guards against "in force" while some router serves an older revision."""
    result = confirmation.confirm_revision(
        [
            make_status("a", 5),
            make_status("b", 4),
            make_status("c", 4, State.DRAINING),
            make_status("d", 6),
            make_status("e", 4, State.STARTING),
            make_status("f", 5, State.STARTING),
        ],
        5,
    )
    assert result.confirmed == ("a", "d", "f")
    assert result.missing == ("b", "c", "e")


def test_only_an_acknowledged_death_excludes_a_router():
    """Guards against a router that counts as dead because it is silent."""
    alive = make_status("a", 5)
    silent = make_status("b", 4)
    assert confirmation.confirm_revision([alive, silent], 5).missing == ("b",)
    acknowledging = make_status("a", 5, deaths=("b#1",))
    assert (
        confirmation.confirm_revision([acknowledging, silent], 5).missing == ()
    )
