"""State machine test: failed owners and lost messages cause no overspending."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from jasminetally._prepaid import account_bound
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import witnessed_ceilings

PREPAID_TOKENS = 100_000
ACCOUNT = "acme"


class PoolMachine(stateful.RuleBasedStateMachine):
    """One account with successive owners and a store that loses replies.

    The model counts every token that an owner handed out; the sum must
    not exceed the prepaid tokens. Owners fail without notice, writes are
    applied late, and a successor corrects its count once it knows when the
    previous owner ended, or what its witnesses hold. Replaced owners may still
    run and go on handing out tokens. The store may come back from an older
    copy; an owner that lives then writes its record again before it fails.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0
        self.epoch = 0
        self.version = 0
        self.stored = pool_record.PoolRecord(0, "", 0.0, None, {})
        self.late_writes: list[tuple[int, pool_record.PoolRecord]] = []
        self.handed_out = 0
        self.owned: owned_shard.OwnedShard | None = None
        self.unreconciled: pool_record.PoolRecord | None = None
        self.ended_s = 0.0
        self.prepaid = PREPAID_TOKENS
        self.replaced: list[owned_shard.OwnedShard] = []
        self.previous_ended = True
        self.previous_runs = False
        self.witness_count = 0
        self.witnesses: dict[str, witnessed_ceilings.WitnessedCeilings] = {}
        for _ in range(4):
            self._start_witness()
        self.late_vectors: list[tuple[str, int, object]] = []
        self.era = 0
        self.saved: tuple[pool_record.PoolRecord, int] = (self.stored, 0)

    def _start_witness(self) -> None:
        self.witness_count += 1
        name = f"witness#{self.witness_count}"
        self.witnesses[name] = witnessed_ceilings.WitnessedCeilings()

    def _store_record(
        self, record: pool_record.PoolRecord, expected: int
    ) -> bool:
        if expected != self.version:
            return False
        self.version += 1
        self.stored = record
        return True

    @stateful.precondition(lambda self: self.owned is None)
    @stateful.rule()
    def take_over(self):
        """Another router becomes the owner."""
        previous = self.stored
        granted = 0
        if ACCOUNT in previous.accounts:
            granted = previous.accounts[ACCOUNT].limit
        self.epoch = previous.epoch + 1
        initial = pool_record.PoolRecord(
            self.epoch,
            f"home#{self.epoch}",
            0.0,
            None,
            {ACCOUNT: account_bound.AccountBound(granted, granted, granted, 0)},
        )
        owned = owned_shard.OwnedShard(
            0, initial, version=self.version, written_s=self.now_s
        )
        owned.update_prepaid({ACCOUNT: self.prepaid})
        planned = self._with_write_time(owned.build_record(self.now_s))
        assert self._store_record(planned, self.version)
        owned.on_write_stored(planned, self.version, self.now_s)
        self.owned = owned
        self.unreconciled = previous if previous.owner else None
        self.previous_ended = not self.previous_runs

    @stateful.precondition(
        lambda self: (
            self.owned is not None
            and self.unreconciled is not None
            and self.previous_ended
        )
    )
    @stateful.rule()
    def reconcile_previous_owner(self):
        """The time at which the previous owner ended becomes known."""
        record = self.unreconciled
        spent = record.max_granted_by(ACCOUNT, self.ended_s)
        limit = record.accounts[ACCOUNT].limit
        self.owned.accounts[ACCOUNT].credit_unspent(limit - spent)
        self.unreconciled = None

    @stateful.precondition(
        lambda self: self.owned is not None and self.unreconciled is not None
    )
    @stateful.rule(reached=st.sets(st.integers(0, 2)))
    def read_ceilings(self, reached):
        """The new owner closes the previous epoch at the witnesses it reaches.

        It corrects its count once a majority has answered.
        """
        record = self.unreconciled
        vectors = [
            self.witnesses[name].close_epoch(0, record.epoch)
            for number, name in enumerate(record.witnesses)
            if number in reached and name in self.witnesses
        ]
        vectors = [vector for vector in vectors if vector is not None]
        if not record.witnesses or len(vectors) < 2:
            return
        newest = max(vectors, key=lambda vector: vector.number)
        bound = record.accounts[ACCOUNT]
        spent = min(bound.limit, newest.ceilings.get(ACCOUNT, bound.granted))
        self.owned.accounts[ACCOUNT].credit_unspent(bound.limit - spent)
        self.unreconciled = None

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(order=st.permutations(range(4)))
    def select_witnesses(self, order):
        """The owner selects the witnesses of its next record."""
        names = list(self.witnesses)
        self.owned.next_witnesses = tuple(names[n] for n in order[:3])

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(
        fates=st.lists(
            st.sampled_from(["held", "reply lost", "late"]),
            min_size=8,
            max_size=8,
        ),
        replaced=st.booleans(),
    )
    def send_ceilings(self, fates, replaced):
        """An owner, possibly a replaced one, sends ceilings to witnesses."""
        owned = self.owned
        if replaced and self.replaced:
            owned = self.replaced[-1]
        owned.discard_old_ceilings()
        vector = owned.ceilings.add_vector(owned.ceiling_targets(self.now_s))
        for name, fate in zip(
            sorted(owned.all_witnesses()), fates, strict=False
        ):
            if fate == "late":
                self.late_vectors.append((name, owned.epoch, vector))
                continue
            witness = self.witnesses.get(name)
            if witness is None:
                continue
            held = witness.store_vector(0, owned.epoch, vector)
            if held and fate == "held":
                owned.ceilings.on_acknowledged(name, vector.number)

    @stateful.precondition(lambda self: bool(self.late_vectors))
    @stateful.rule()
    def deliver_late_vector(self):
        """A witness receives ceilings late; its reply is lost."""
        name, epoch, vector = self.late_vectors.pop(0)
        if name in self.witnesses:
            self.witnesses[name].store_vector(0, epoch, vector)

    @stateful.rule(number=st.integers(0, 3))
    def restart_witness(self, number):
        """A witness fails; its instance starts again and knows nothing."""
        del self.witnesses[list(self.witnesses)[number]]
        self._start_witness()

    @stateful.precondition(lambda self: bool(self.replaced))
    @stateful.rule()
    def take_from_replaced_owner(self):
        """A router takes all available tokens from a replaced owner."""
        owned = self.replaced[-1]
        available = owned.available_tokens(ACCOUNT, self.now_s)
        owned.take_tokens(ACCOUNT, available, 0, routers=3, now_s=self.now_s)
        self.handed_out += available

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(needed=st.integers(0, 30_000), wished=st.integers(0, 30_000))
    def take_tokens(self, needed, wished):
        """A router asks for tokens."""
        taken = self.owned.take_tokens(
            ACCOUNT, needed, max(needed, wished), routers=3, now_s=self.now_s
        )
        assert taken.tokens >= 0
        self.handed_out += taken.tokens

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule()
    def take_all_available(self):
        """A router asks for all available tokens."""
        available = self.owned.available_tokens(ACCOUNT, self.now_s)
        taken = self.owned.take_tokens(
            ACCOUNT, available, 0, routers=3, now_s=self.now_s
        )
        assert taken.tokens == available
        self.handed_out += available

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(share=st.floats(0, 1))
    def return_unused(self, share):
        """Routers return a share of the tokens that were handed out."""
        tokens = int(share * self.handed_out)
        self.owned.accounts[ACCOUNT].return_tokens(tokens, self.now_s)
        self.handed_out -= tokens

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(
        outcome=st.sampled_from(["stored", "refused", "lost", "late"]),
        needed=st.integers(0, 30_000),
    )
    def write_record(self, outcome, needed):
        """The owner writes a record; the reply may be lost."""
        owned = self.owned
        owned.open_reserve_steps(self.now_s)
        owned.waiting_tokens[ACCOUNT] = needed
        planned = self._with_write_time(owned.build_record(self.now_s))
        owned.waiting_tokens[ACCOUNT] = 0
        owned.on_write_sent(planned, self.now_s)
        if outcome == "refused":
            owned.on_write_failed(planned)
        elif outcome == "late":
            self.late_writes.append((owned.version, planned))
        elif not self._store_record(planned, owned.version):
            if self.stored.era < self.era:
                owned.on_record_lost(self.version)
                return
            # A late write was applied first; the owner reads its record.
            owned.on_write_stored(self.stored, self.version, self.now_s)
        elif outcome == "stored":
            owned.on_write_stored(planned, self.version, self.now_s)

    @stateful.rule()
    def save_copy(self):
        """The store saves a copy of itself."""
        self.saved = self.stored, self.version

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule()
    def restore_store(self):
        """The store comes back from the copy; the owner notices it."""
        self.stored, self.version = self.saved
        self.era += 1
        self.late_writes.clear()
        self.owned.unconfirmed = True

    @stateful.precondition(
        lambda self: self.owned is not None and self.owned.unconfirmed
    )
    @stateful.rule()
    def write_lost_record_again(self):
        """The owner stores its record over the older one."""
        assert not self.owned.available_tokens(ACCOUNT, self.now_s)
        for _ in range(2):
            self.write_record("stored", 0)
        assert not self.owned.unconfirmed

    @stateful.precondition(lambda self: bool(self.late_writes))
    @stateful.rule()
    def apply_late_write(self):
        """The store applies a write that was not answered."""
        expected, record = self.late_writes.pop(0)
        self._store_record(record, expected)

    @stateful.precondition(
        lambda self: self.owned is not None and not self.owned.unconfirmed
    )
    @stateful.rule(delay_s=st.floats(0, 3), runs_on=st.booleans())
    def end_owner(self, delay_s, runs_on):
        """The owner fails; its recorded end may be some seconds later.

        Or it runs on, and only its successor does not know.
        """
        self.replaced = [self.owned] if runs_on else []
        self.previous_runs = runs_on
        self.owned = None
        self.now_s += delay_s
        self.ended_s = self.now_s

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(order=st.permutations(range(4)))
    def establish_witnesses(self, order):
        """The owner's next record names witnesses that hold its ceilings."""
        self.select_witnesses(order)
        self.send_ceilings(["held"] * 8, False)
        self.write_record("stored", 0)

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(
        fates=st.lists(
            st.sampled_from(["held", "reply lost", "late"]),
            min_size=8,
            max_size=8,
        )
    )
    def raise_ceilings_and_take(self, fates):
        """Ceilings rise as far as witnesses answer, and all is handed out."""
        self.send_ceilings(fates, False)
        self.take_all_available()

    @stateful.precondition(
        lambda self: self.owned is not None and not self.owned.unconfirmed
    )
    @stateful.rule(
        runs_on=st.booleans(), reached=st.sets(st.integers(0, 2), min_size=2)
    )
    def replace_owner(self, runs_on, reached):
        """A successor takes over at once and asks the witnesses."""
        self.end_owner(0.0, runs_on)
        self.take_over()
        if self.unreconciled is not None:
            self.read_ceilings(reached)

    @stateful.rule(passed_s=st.floats(0, 5))
    def advance_time(self, passed_s):
        """Time passes."""
        self.now_s += passed_s

    @stateful.precondition(lambda self: self.owned is not None)
    @stateful.rule(tokens=st.integers(0, 50_000))
    def top_up(self, tokens):
        """The operator adds prepaid tokens."""
        self.prepaid += tokens
        self.owned.update_prepaid({ACCOUNT: self.prepaid})

    @stateful.invariant()
    def handed_out_tokens_are_prepaid(self):
        """Check that no more tokens are handed out than were paid for."""
        assert self.handed_out <= self.prepaid

    @stateful.invariant()
    def owner_counts_all_handed_out_tokens(self):
        """Check that the owner counts at least the tokens handed out."""
        if self.owned is not None:
            assert self.owned.accounts[ACCOUNT].granted >= self.handed_out

    def _with_write_time(self, record):
        return pool_record.PoolRecord(
            record.epoch,
            record.owner,
            record.delay_s,
            self.now_s,
            record.accounts,
            record.witnesses,
            self.era,
        )


PoolMachine.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=50, deadline=None
)
test_prepaid_tokens_are_never_overspent = PoolMachine.TestCase
