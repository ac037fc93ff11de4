"""Tests of the ceilings that a successor of an owner can read."""

from __future__ import annotations

from jasminetally._prepaid import ceiling_quorum

WITNESSES = ("a#1", "b#1", "c#1")


def send(quorum, ceiling, *, held_by):
    """Send ceilings of one account, which some witnesses acknowledge."""
    vector = quorum.add_vector({"acme": ceiling})
    for witness in held_by:
        quorum.on_acknowledged(witness, vector.number)


def test_ceiling_holds_once_a_majority_has_it():
    """Guards against tokens that a successor does not learn of."""
    quorum = ceiling_quorum.CeilingQuorum()
    assert quorum.limit(WITNESSES, "acme") == 0
    send(quorum, 100, held_by=["a#1"])
    assert quorum.limit(WITNESSES, "acme") == 0
    send(quorum, 200, held_by=["a#1", "b#1"])
    assert quorum.limit(WITNESSES, "acme") == 200
    send(quorum, 300, held_by=["c#1"])
    assert quorum.limit(WITNESSES, "acme") == 200


def test_lower_ceiling_applies_as_soon_as_it_is_sent():
    """Guards against a successor that reads a ceiling sent later."""
    quorum = ceiling_quorum.CeilingQuorum()
    send(quorum, 200, held_by=WITNESSES)
    send(quorum, 150, held_by=[])
    send(quorum, 180, held_by=[])
    assert quorum.limit(WITNESSES, "acme") == 150


def test_late_acknowledgement_does_not_lower_the_newest_one():
    """Guards against answers that overtake each other."""
    quorum = ceiling_quorum.CeilingQuorum()
    send(quorum, 100, held_by=[])
    send(quorum, 200, held_by=["a#1", "b#1"])
    quorum.on_acknowledged("a#1", 1)
    assert quorum.newest_held(WITNESSES) == 2


def test_witnesses_whose_vectors_are_forgotten_allow_nothing():
    """Guards against former witnesses that still hold older ceilings.

    A successor may read any vector that they hold, also one that this owner
    no longer remembers.
    """
    quorum = ceiling_quorum.CeilingQuorum()
    send(quorum, 100, held_by=WITNESSES)
    others = ("c#1", "d#1", "e#1")
    send(quorum, 900, held_by=others)
    quorum.discard_unreadable([others])
    assert quorum.limit(others, "acme") == 900
    assert quorum.limit(WITNESSES, "acme") == 0


def test_account_without_a_ceiling_gets_nothing():
    """Guards against tokens of an account that was added later."""
    quorum = ceiling_quorum.CeilingQuorum()
    send(quorum, 100, held_by=WITNESSES)
    assert quorum.limit(WITNESSES, "new") == 0


def test_unacknowledged_vectors_use_bounded_memory():
    """Guards against memory that grows while no witness answers."""
    quorum = ceiling_quorum.CeilingQuorum()
    for number in range(500):
        send(quorum, number, held_by=[])
    assert len(quorum._vectors) == ceiling_quorum.MAX_VECTORS
