"""Random operations on a record, compared with a list of settlements."""

from __future__ import annotations

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from jasminetally import _errors
from jasminetally._ledger import claim_operations
from jasminetally._ledger import cleanup_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import invariant
from jasminetally._ledger import pending_transfer
from jasminetally._ledger import record_codec
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import request_transitions
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import settlement_outcomes
from jasminetally._ledger import transitions

GRANTS = st.sampled_from([f"g{number}" for number in range(6)])
KEYS = st.sampled_from(["k1", "k2", "k3", None])
TOKENS = st.integers(0, 300)
TRANSFERS = st.integers(0, 5)
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=int(os.environ.get("JASMINETALLY_TEST_EXAMPLES", "100")),
    stateful_step_count=int(os.environ.get("JASMINETALLY_TEST_STEPS", "40")),
)


class _LedgerMachine(stateful.RuleBasedStateMachine):
    """Applies operations on six grants and lists what was billed.

    Each of the six grants has its own holder. The record is encoded and
    decoded after each operation.
    """

    def __init__(self):
        super().__init__()
        self.record = None
        self.sequence = 0
        self.billed = []
        self.converted = []
        self.claimed = []
        self.apply(grant_operations.CreditTopUp("b", "t0", 9000))
        for number in range(6):
            self.add_grant(f"g{number}", 1000)

    def apply(self, *operations):
        self.sequence += 1
        result = transitions.apply_operations(
            self.record,
            operations,
            writer="w",
            sequence=self.sequence,
            now_wall_s=float(self.sequence),
        )
        self.record = record_codec.decode(record_codec.encode(result.record))
        return result.outcomes[0]

    def tokens_of(self, grant):
        entry = self.record.budgets["b"].grants.get(grant)
        return entry.tokens if entry else 0

    @stateful.rule(top_up=st.integers(0, 3), tokens=TOKENS)
    def credit_top_up(self, top_up, tokens):
        self.apply(grant_operations.CreditTopUp("b", f"t{top_up}", tokens))

    @stateful.rule(grant=GRANTS, tokens=TOKENS)
    def add_grant(self, grant, tokens):
        self.apply(grant_operations.AddGrant("b", grant, grant, tokens, 20))

    @stateful.rule(grant=GRANTS, tokens=TOKENS, close=st.booleans())
    def return_tokens(self, grant, tokens, close):
        tokens = min(tokens, self.tokens_of(grant))
        self.apply(grant_operations.ReturnTokens("b", grant, tokens, close))

    @stateful.rule(grant=GRANTS, key=KEYS, tokens=TOKENS, unbilled=TOKENS)
    def settle_usage(self, grant, key, tokens, unbilled):
        tokens = min(tokens, self.tokens_of(grant))
        unbilled = min(unbilled, self.tokens_of(grant) - tokens)
        operation = settlement_operations.SettleUsage(
            "b", grant, key, "f", tokens, unbilled
        )
        if isinstance(self.apply(operation), settlement_outcomes.Billed):
            self.billed.append((key, tokens))

    @stateful.rule(source=GRANTS, receiver=GRANTS, number=TRANSFERS)
    def convert_transfer(self, source, receiver, number):
        if source == receiver or self.tokens_of(source) < 10:
            return
        before = self.tokens_of(receiver)
        transfer = f"{source}/{number}"
        self.apply(
            settlement_operations.ConvertTransfer(
                "b", source, transfer, receiver, receiver, 10
            )
        )
        if self.tokens_of(receiver) > before:
            self.converted.append(transfer)

    @stateful.rule(
        grant=GRANTS, unbilled=TOKENS, pending=TRANSFERS, rare=st.integers(0, 4)
    )
    def reclaim_grant(self, grant, unbilled, pending, rare):
        if rare:
            return
        pending_transfers = {}
        if self.tokens_of(grant) >= 10:
            pending_transfers[f"{grant}/{pending}"] = (
                pending_transfer.PendingTransfer("g9", 10)
            )
        self.apply(
            recovery_operations.ReclaimGrant(
                "b", grant, (), unbilled, pending_transfers
            )
        )

    @stateful.rule(key=st.sampled_from(["c1", "c2"]), holder=GRANTS)
    def claim_key(self, key, holder):
        operation = claim_operations.Claim(key, "f", "b", holder, "s")
        if type(self.apply(operation)).__name__ == "Claimed":
            self.claimed.append(key)

    @stateful.rule(before=st.integers(0, 5))
    def prune_entries(self, before):
        self.apply(cleanup_operations.PruneEntries(float(-before)))

    @stateful.invariant()
    def token_balance_holds(self):
        invariant.check_record(self.record)
        assert self.record.budgets["b"].settled == sum(
            tokens for _, tokens in self.billed
        )

    @stateful.invariant()
    def keys_are_billed_once(self):
        keys = [key for key, _ in self.billed if key is not None]
        assert len(keys) == len(set(keys))

    @stateful.invariant()
    def keys_are_claimed_once(self):
        assert len(self.claimed) == len(set(self.claimed))


def run_machine():
    stateful.run_state_machine_as_test(_LedgerMachine, settings=SETTINGS)


def test_random_operations_keep_the_token_balance():
    """Guards against tokens that are lost, created or billed twice."""
    run_machine()


def test_state_machine_detects_a_key_billed_twice(monkeypatch):
    """Guards against a state machine that misses billing a key twice.

    The patched function forgets the entry of a completed key, so that the
    next settlement of the key is billed again.
    """
    original = request_transitions.bill_tokens

    def bill_tokens(draft, op, *, incarnation):
        draft.requests = {
            key: entry
            for key, entry in draft.requests.items()
            if key != op.key_hash
        }
        return original(draft, op, incarnation=incarnation)

    monkeypatch.setattr(request_transitions, "bill_tokens", bill_tokens)
    with pytest.raises((AssertionError, _errors.InvariantError)):
        run_machine()
