"""State that the parts of a budget manager share."""

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
    """One client account at one router.

    Attributes:
        account: Client account.
        incarnation: This router.
        policy: Settings.
        wall_offset_s: Wall clock minus monotonic time, in seconds.
        view: Last confirmed record.
        log: Writes with an unknown outcome.
        queue: Settlements and claims to write.
        reservations: Running requests by reservation id.
        terms: Configured budgets; None before the first configuration.
        routers: Routers of the fleet.
        reachable: Incarnations of the peers that respond.
        draining: The router is shutting down.
        open_asks: Questions to peers without an answer.
        drained: Nothing of the account is left in this router.
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
        # Unique over the budgets of the account, and so are transfer ids.
        self._grant_ids = (f"{incarnation}/{n}" for n in itertools.count(1))
        self.states: dict[str, budget_state.BudgetState] = {}

    @property
    def fenced(self) -> bool:
        """Return whether recovery declared this incarnation dead."""
        last = self.view.last_sequence(self.incarnation)
        return last == account_record.FENCED_SEQUENCE

    @property
    def isolated(self) -> bool:
        """Return whether no peer can keep a journal of this router."""
        return (
            self.peers_known
            and self.router_count > 1
            and not self.reachable_peers
        )

    @property
    def isolated_percent(self) -> int:
        """Return the isolated share; all tokens if there is no peer at all."""
        return self.policy.isolated_percent if self.router_count > 1 else 100

    def state(self, budget: str) -> budget_state.BudgetState:
        """Return the state of a budget, new if there is none."""
        state = self.states.get(budget)
        if state is None:
            state = budget_state.BudgetState(budget, grant_ids=self._grant_ids)
            self.states[budget] = state
            state.on_confirmed(self.view.grant(budget, state.grant))
        return state

    def knows_budget(self, budget: str) -> bool:
        """Return whether a budget is configured, recorded or may be."""
        return (
            self.terms is None
            or budget in self.terms
            or self.view.has_budget(budget)
        )

    def missing_credits(self, budget: str) -> dict[str, int]:
        """Return configured top-ups that the record does not have."""
        if self.terms is None or budget not in self.terms:
            return {}
        credited = self.view.budget(budget).credited
        return {
            top_up: tokens
            for top_up, tokens in self.terms[budget].top_ups.items()
            if top_up not in credited
        }

    def grantable_tokens(self, budget: str) -> int:
        """Return tokens that a write can grant: free ones and new top-ups."""
        free = self.view.budget(budget).free
        return free + sum(self.missing_credits(budget).values())

    def max_remaining_tokens(self, budget: str) -> int:
        """Return an upper limit of what is left in the whole fleet."""
        held = sum(
            entry.tokens for entry in self.view.budget(budget).grants.values()
        )
        state = self.state(budget)
        return self.grantable_tokens(budget) + held - state.unsettled
