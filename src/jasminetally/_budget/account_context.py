"""State of one client account that the parts of a budget manager share."""

from __future__ import annotations

import itertools

from jasminetally._budget import budget_state
from jasminetally._budget import budget_terms
from jasminetally._budget import change_queue
from jasminetally._budget import grant_policy
from jasminetally._budget import record_view
from jasminetally._budget import reservation
from jasminetally._budget import write_log
from jasminetally._ledger import account_record


class AccountContext:
    """State of one client account at one router.

    Attributes:
        account: Client account.
        incarnation: Incarnation of this router.
        policy: Settings of the budget decisions.
        wall_offset_s: Wall clock minus monotonic time, in seconds.
        view: Last confirmed account record.
        write_log: Writes whose outcome is not known yet.
        change_queue: Settlements and claims without a confirmed write.
        reservations: Reservations of running requests, by reservation id.
        terms: Configured budgets, by budget id; None before the first
            configuration.
        router_count: Number of routers in the fleet.
        reachable_peers: Incarnations of the peers that respond.
        peers_known: Whether ``reachable_peers`` was set.
        draining: Whether the router is shutting down.
        open_transfer_requests: Number of transfer requests that a peer has not
            replied to.
        drained: Whether the drain is complete: this router holds no tokens
            and no unwritten changes of the account.
        states: State of each budget in use, by budget id.
    """

    def __init__(
        self,
        *,
        account: str,
        incarnation: str,
        policy: grant_policy.GrantPolicy,
        wall_offset_s: float,
    ) -> None:
        self.account = account
        self.incarnation = incarnation
        self.policy = policy
        self.wall_offset_s = wall_offset_s
        self.view = record_view.RecordView()
        self.write_log = write_log.WriteLog()
        self.change_queue = change_queue.ChangeQueue(incarnation=incarnation)
        self.reservations: dict[str, reservation.Reservation] = {}
        self.terms: dict[str, budget_terms.BudgetTerms] | None = None
        self.router_count = 1
        self.reachable_peers: tuple[str, ...] = ()
        self.peers_known = False
        self.draining = False
        self.open_transfer_requests = 0
        self.drained = False
        # Grant ids are unique over all budgets of the account. Transfer ids
        # are made from grant ids and therefore unique as well.
        self._grant_ids = (f"{incarnation}/{n}" for n in itertools.count(1))
        self.states: dict[str, budget_state.BudgetState] = {}

    @property
    def fenced(self) -> bool:
        """Return whether recovery has declared this incarnation dead."""
        last = self.view.last_sequence(self.incarnation)
        return last == account_record.FENCED_SEQUENCE

    @property
    def isolated(self) -> bool:
        """Return whether no peer can hold the journal of this router."""
        return (
            self.peers_known
            and self.router_count > 1
            and not self.reachable_peers
        )

    @property
    def isolated_percent(self) -> int:
        """Return the isolated share of a grant in percent.

        In a fleet of one router it is the whole grant, since no journal is
        possible.
        """
        return self.policy.isolated_percent if self.router_count > 1 else 100

    def state(self, budget: str) -> budget_state.BudgetState:
        """Return the state of a budget; create it on first use."""
        state = self.states.get(budget)
        if state is None:
            state = budget_state.BudgetState(budget, grant_ids=self._grant_ids)
            self.states[budget] = state
            state.on_confirmed(self.view.grant(budget, state.grant))
        return state

    def knows_budget(self, budget: str) -> bool:
        """Return whether a budget may exist.

        Before the first configuration, every budget may.
        """
        return (
            self.terms is None
            or budget in self.terms
            or self.view.has_budget(budget)
        )

    def missing_credits(self, budget: str) -> dict[str, int]:
        """Return the configured top-ups that the record has not credited.

        Returns:
            Tokens by top-up id.
        """
        if self.terms is None or budget not in self.terms:
            return {}
        credited = self.view.budget(budget).credited
        return {
            top_up: tokens
            for top_up, tokens in self.terms[budget].top_ups.items()
            if top_up not in credited
        }

    def grantable_tokens(self, budget: str) -> int:
        """Return the tokens that a write can grant.

        These are the free tokens and top-ups that are not credited yet.
        """
        free = self.view.budget(budget).free
        return free + sum(self.missing_credits(budget).values())

    def max_remaining_tokens(self, budget: str) -> int:
        """Return an upper limit of the unused tokens in the whole fleet."""
        held = sum(
            entry.tokens for entry in self.view.budget(budget).grants.values()
        )
        state = self.state(budget)
        return self.grantable_tokens(budget) + held - state.unsettled
