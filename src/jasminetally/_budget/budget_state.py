"""Tokens of one budget at one router."""

from __future__ import annotations

from collections.abc import Iterator

from jasminetally._budget import request_queue
from jasminetally._budget import transfer_messages
from jasminetally._ledger import grant_entry
from jasminetally._ledger import grant_transitions
from jasminetally._shared import demand_forecast


class BudgetState:
    """Token counts from which a router decides about one budget.

    ``confirmed`` comes from the last confirmed record. Everything that was
    promised or used since then is subtracted, whether or not a write that
    contains it is under way, so the result never depends on a write with an
    unknown outcome.

    Args:
        budget: Budget id.
        grants: Source of new grant ids.

    Attributes:
        budget: Budget id.
        grant: Id of the grant that this router holds or would open next.
        confirmed: Tokens of the grant in the confirmed record.
        isolated: Isolated share of the grant in the confirmed record.
        reserved: Tokens of running requests.
        isolated_reserved: Those of them taken from the isolated share.
        unsettled: Tokens used whose settlement is not confirmed.
        isolated_unsettled: Those of them taken from the isolated share.
        returning: Tokens that a write under way returns.
        closing: A write under way closes the grant; nothing is admitted, so
            that a reservation always names the grant that it is charged to.
        given: Transfers given and not seen converted, by id.
        notes: Transfers received and not yet converted, by id.
        waiting: Requests that wait for tokens.
        forecast: Demand at this router.
        refill_after_s: No refill without a waiting request before this time.
    """

    def __init__(self, budget: str, *, grant_ids: Iterator[str]) -> None:
        self.budget = budget
        self._grant_ids = grant_ids
        self.grant = next(grant_ids)
        self._next_transfer_number = 0
        self.grant_exists = False
        self.confirmed = 0
        self.isolated_share = 0
        self.reserved = 0
        self.isolated_reserved = 0
        self.unsettled = 0
        self.isolated_unsettled = 0
        self.returning_tokens = 0
        self.closing = False
        self.given_transfers: dict[str, transfer_messages.TransferReply] = {}
        self.received_transfers: dict[str, transfer_messages.TransferReply] = {}
        self.waiting = request_queue.RequestQueue()
        self.forecast = demand_forecast.DemandForecast()
        self.refill_after_s = 0.0

    @property
    def given_tokens(self) -> int:
        """Return the tokens of transfers given and not seen converted."""
        return sum(reply.tokens for reply in self.given_transfers.values())

    @property
    def received_tokens(self) -> int:
        """Return the tokens of transfers received and not converted."""
        return sum(reply.tokens for reply in self.received_transfers.values())

    @property
    def usable(self) -> int:
        """Return the tokens that a new request may reserve."""
        return (
            self.confirmed
            + (self.received_tokens if self.received_transfers else 0)
            - self.reserved
            - self.unsettled
            - (self.given_tokens if self.given_transfers else 0)
            - self.returning_tokens
        )

    def transferable_tokens(self, least_held: int) -> int:
        """Return the tokens that may be given to a peer.

        A receiver converts them from this grant, perhaps before this router
        converts the notes that it has received itself. Therefore the grant
        must hold all given tokens now and after each write under way. Later
        writes settle only what given tokens and converted notes leave.

        Args:
            least_held: Least tokens of the grant in the confirmed record and
                after any write under way.
        """
        return max(0, min(self.usable, least_held - self.given_tokens))

    @property
    def isolated_left(self) -> int:
        """Return what is left of the isolated share, in tokens."""
        return (
            self.isolated_share
            - self.isolated_reserved
            - self.isolated_unsettled
        )

    @property
    def is_empty(self) -> bool:
        """Return whether no token of this budget is in this router's care."""
        return not (
            self.grant_exists
            or self.reserved
            or self.unsettled
            or self.returning_tokens
            or self.given_transfers
            or self.received_transfers
            or len(self.waiting)
        )

    def next_transfer_id(self) -> str:
        """Return the id of a new transfer from the grant."""
        number = self._next_transfer_number
        self._next_transfer_number += 1
        return f"{self.grant}/{number}"

    def on_confirmed(self, entry: grant_entry.GrantEntry | None) -> None:
        """Take over the grant from a confirmed record."""
        if entry is None and self.grant_exists:
            # An id is not used again, so that a late conversion from a closed
            # grant can't take tokens of a new one.
            self.grant = next(self._grant_ids)
            self._next_transfer_number = 0
            self.given_transfers.clear()
        self.grant_exists = entry is not None
        self.confirmed = entry.tokens if entry else 0
        self.isolated_share = entry.isolated if entry else 0
        if entry is not None and self.given_transfers:
            self.given_transfers = {
                transfer: reply
                for transfer, reply in self.given_transfers.items()
                if not grant_transitions.is_converted(entry, transfer)
            }
