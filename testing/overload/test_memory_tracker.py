"""Tests of the memory that clients' connections hold."""

from __future__ import annotations

import pytest

from jasminetally._overload import held_memory
from jasminetally._overload import memory_tracker
from jasminetally._overload import object_costs

# Connections that hold no more than themselves have nothing to give up.
UNIT_BYTES = 10 * object_costs.CONNECTION_BYTES
LIMIT_BYTES = 100 * UNIT_BYTES


class Holder:
    """Connection that holds memory and may have less than it was set to."""

    def __init__(self, tracker, size, *, present=None):
        self.released = False
        self.held = held_memory.HeldMemory(tracker, self)
        self.held.open()
        self._present = size if present is None else present
        self.held.set_releasable(size)

    def update_held_memory(self):
        """Set the present size."""
        if not self.released:
            self.held.set_releasable(self._present)

    def release_memory(self):
        """Give everything up."""
        self.released = True
        self.held.set_releasable(0)


@pytest.fixture(name="tracker")
def make_tracker():
    return memory_tracker.MemoryTracker(LIMIT_BYTES)


def test_largest_holders_give_up_memory_above_the_limit(tracker):
    """Guards against small requests refused for large ones."""
    holders = [
        Holder(tracker, size * UNIT_BYTES) for size in (1, 50, 9, 30, 20)
    ]

    tracker.enforce_limit()

    assert [holder.released for holder in holders] == [
        False,
        True,
        False,
        False,
        False,
    ]
    assert tracker.total_bytes == 60 * UNIT_BYTES


def test_nobody_gives_up_memory_within_the_limit(tracker):
    """Guards against requests refused in calm."""
    holders = [Holder(tracker, LIMIT_BYTES // 4) for _ in range(4)]
    tracker.enforce_limit()
    assert not any(holder.released for holder in holders)


def test_answers_that_were_read_since_do_not_count(tracker):
    """Guards against connections closed for memory that is free again."""
    holders = [
        Holder(tracker, LIMIT_BYTES * 6 // 10, present=LIMIT_BYTES // 10)
        for _ in range(2)
    ]
    tracker.enforce_limit()
    assert not any(holder.released for holder in holders)


def test_room_is_made_for_what_is_about_to_be_allocated(tracker):
    """Guards against a message whose objects exceed the limit."""
    holder = Holder(tracker, LIMIT_BYTES * 8 // 10)
    tracker.enforce_limit(extra=LIMIT_BYTES * 3 // 10)
    assert holder.released


def test_requests_that_are_handled_leave_room_for_others(tracker):
    """Guards against requests that arrive when handled ones hold all."""
    holder = Holder(tracker, 0)
    assert tracker.has_room(LIMIT_BYTES // 2)
    holder.held.set_handled(LIMIT_BYTES // 2)
    assert not tracker.has_room(LIMIT_BYTES // 2)
    assert tracker.may_ever_fit(LIMIT_BYTES // 2)
    assert not tracker.may_ever_fit(LIMIT_BYTES)


def test_closed_connection_holds_nothing(tracker):
    """Guards against a sum that grows with each closed connection."""
    holder = Holder(tracker, 700)
    holder.held.set_handled(200)
    holder.held.close()
    assert tracker.total_bytes == 0
    assert tracker.has_room(int(memory_tracker.HANDLED_RATIO * LIMIT_BYTES))


def test_idle_connections_are_kept_when_others_hold_all(tracker):
    """Guards against callers cut off although it frees no memory."""
    idle = [Holder(tracker, object_costs.CONNECTION_BYTES) for _ in range(9)]
    idle[0].held.set_handled(2 * LIMIT_BYTES)
    tracker.enforce_limit()
    assert not any(holder.released for holder in idle)
