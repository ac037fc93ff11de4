"""State machine: homes die, writes are lost, and nothing is overspent."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from jasminetally._prepaid import account_bound
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import shard_home

PREPAID = 100_000
ACCOUNT = "acme"


class PoolMachine(stateful.RuleBasedStateMachine):
    """One account under a chain of homes and a store that loses answers.

    The model counts every token that a home handed out; the sum must stay
    within what was paid for. Homes die without a word, writes are applied
    late, and a successor corrects its count once it knows when the home
    before it ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0
        self.epoch = 0
        self.version = 0
        self.stored = pool_record.PoolRecord(0, "", 0.0, None, {})
        self.late: list[tuple[int, pool_record.PoolRecord]] = []
        self.handed_out = 0
        self.home: shard_home.ShardHome | None = None
        self.unaccounted: pool_record.PoolRecord | None = None
        self.ended_s = 0.0
        self.prepaid = PREPAID

    def _replace(self, record: pool_record.PoolRecord, expected: int) -> bool:
        if expected != self.version:
            return False
        self.version += 1
        self.stored = record
        return True

    @stateful.precondition(lambda self: self.home is None)
    @stateful.rule()
    def take_over(self):
        """Another router becomes the home."""
        before = self.stored
        granted = 0
        if ACCOUNT in before.accounts:
            granted = before.accounts[ACCOUNT].limit
        self.epoch = before.epoch + 1
        start = pool_record.PoolRecord(
            self.epoch,
            f"home#{self.epoch}",
            0.0,
            None,
            {ACCOUNT: account_bound.AccountBound(granted, granted, granted, 0)},
        )
        home = shard_home.ShardHome(
            0, start, version=self.version, written_s=self.now_s
        )
        home.update_prepaid({ACCOUNT: self.prepaid})
        planned = self._timed(home.build_record(self.now_s))
        assert self._replace(planned, self.version)
        home.on_write_stored(planned, self.version, self.now_s)
        self.home = home
        self.unaccounted = before if before.home else None

    @stateful.precondition(
        lambda self: self.home is not None and self.unaccounted is not None
    )
    @stateful.rule()
    def account_for_the_home_before(self):
        """The end of the home before it becomes known."""
        record = self.unaccounted
        spent = record.max_granted_by(ACCOUNT, self.ended_s)
        limit = record.accounts[ACCOUNT].limit
        self.home.accounts[ACCOUNT].credit_unspent(limit - spent)
        self.unaccounted = None

    @stateful.precondition(lambda self: self.home is not None)
    @stateful.rule(needed=st.integers(0, 30_000), wished=st.integers(0, 30_000))
    def take(self, needed, wished):
        """A router asks for tokens."""
        taken = self.home.take_tokens(
            ACCOUNT, needed, max(needed, wished), routers=3, now_s=self.now_s
        )
        assert taken.tokens >= 0
        self.handed_out += taken.tokens

    @stateful.precondition(lambda self: self.home is not None)
    @stateful.rule()
    def take_all(self):
        """A router asks for everything that can be had."""
        available = self.home.available_tokens(ACCOUNT, self.now_s)
        taken = self.home.take_tokens(
            ACCOUNT, available, 0, routers=3, now_s=self.now_s
        )
        assert taken.tokens == available
        self.handed_out += available

    @stateful.precondition(lambda self: self.home is not None)
    @stateful.rule(share=st.floats(0, 1))
    def give_back(self, share):
        """Routers return unused tokens."""
        tokens = int(share * self.handed_out)
        self.home.accounts[ACCOUNT].return_tokens(tokens, self.now_s)
        self.handed_out -= tokens

    @stateful.precondition(lambda self: self.home is not None)
    @stateful.rule(
        fate=st.sampled_from(["stored", "refused", "lost", "late"]),
        needed=st.integers(0, 30_000),
    )
    def write(self, fate, needed):
        """The home writes a record; its answer may be lost."""
        home = self.home
        home.open_reserve_steps(self.now_s)
        home.waiting_tokens[ACCOUNT] = needed
        planned = self._timed(home.build_record(self.now_s))
        home.waiting_tokens[ACCOUNT] = 0
        home.on_write_sent(planned, self.now_s)
        if fate == "refused":
            home.on_write_failed(planned)
        elif fate == "late":
            self.late.append((home.version, planned))
        elif not self._replace(planned, home.version):
            # A late write came first; the home reads the record back.
            home.on_write_stored(self.stored, self.version, self.now_s)
        elif fate == "stored":
            home.on_write_stored(planned, self.version, self.now_s)

    @stateful.precondition(lambda self: bool(self.late))
    @stateful.rule()
    def apply_late_write(self):
        """The store applies a write that had no answer."""
        expected, record = self.late.pop(0)
        self._replace(record, expected)

    @stateful.precondition(lambda self: self.home is not None)
    @stateful.rule(pause_s=st.floats(0, 3))
    def die(self, pause_s):
        """The home ends without a word."""
        self.home = None
        self.now_s += pause_s
        self.ended_s = self.now_s

    @stateful.rule(seconds=st.floats(0, 5))
    def wait(self, seconds):
        """Time passes."""
        self.now_s += seconds

    @stateful.precondition(lambda self: self.home is not None)
    @stateful.rule(tokens=st.integers(0, 50_000))
    def top_up(self, tokens):
        """The operator raises the prepaid amount."""
        self.prepaid += tokens
        self.home.update_prepaid({ACCOUNT: self.prepaid})

    @stateful.invariant()
    def never_more_than_prepaid(self):
        """Check the promise to the operator."""
        assert self.handed_out <= self.prepaid

    @stateful.invariant()
    def counts_cover_what_was_handed_out(self):
        """Check that the home counts all tokens in use."""
        if self.home is not None:
            assert self.home.accounts[ACCOUNT].granted >= self.handed_out

    def _timed(self, record):
        return pool_record.PoolRecord(
            record.epoch,
            record.home,
            record.delay_s,
            self.now_s,
            record.accounts,
        )


PoolMachine.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=30, deadline=None
)
test_prepaid_tokens_are_never_overspent = PoolMachine.TestCase
