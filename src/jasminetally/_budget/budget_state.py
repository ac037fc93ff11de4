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

    ``confirmed`` comes from the last confirmed record. All tokens reserved,
    used, given or returned since then are subtracted from it, whether or not
    an unconfirmed write contains them, so the usable tokens never depend on a
    write with an unknown outcome.

    Args:
        budget: Budget id.
        grant_ids: Source of new grant ids.

    Attributes:
        budget: Budget id.
        grant: Id of the grant that this router holds, or of the next one.
        grant_exists: Whether the grant is in the confirmed record.
        confirmed: Tokens of the grant in the confirmed record.
        isolated_share: Isolated share of the grant in the confirmed record,
            in tokens.
        reserved: Tokens reserved for running requests.
        isolated_reserved: Reserved tokens taken from the isolated share.
        unsettled: Used tokens whose settlement is not confirmed.
        isolated_unsettled: Unsettled tokens taken from the isolated share.
        returning_tokens: Tokens that an unconfirmed write returns.
        closing: Whether an unconfirmed write closes the grant. No request is
            admitted then, so that each reservation is charged to the grant
            that it names.
        given_transfers: Transfers to peers, by transfer id, that the confirmed
            record does not show as converted.
        received_transfers: Transfers from peers, by transfer id, that are not
            converted yet.
        waiting: Requests that wait for tokens.
        forecast: Forecast of the demand at this router.
        refill_after_s: Time before which no refill is made unless a request
            waits for tokens, monotonic seconds.
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
        """Return the tokens of unconverted transfers to peers."""
        return sum(reply.tokens for reply in self.given_transfers.values())

    @property
    def received_tokens(self) -> int:
        """Return the tokens of unconverted transfers from peers."""
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

        The receiver converts the transfer from this grant, perhaps before this
        router converts the transfers that it has received itself. Therefore
        the grant must hold all given tokens in the confirmed record and after
        each unconfirmed write. Later writes settle only tokens of the grant
        that are not given to peers.

        Args:
            least_held: Lowest number of tokens that the grant has in the
                confirmed record and after each unconfirmed write.
        """
        return max(0, min(self.usable, least_held - self.given_tokens))

    @property
    def isolated_left(self) -> int:
        """Return the tokens of the isolated share that are not in use."""
        return (
            self.isolated_share
            - self.isolated_reserved
            - self.isolated_unsettled
        )

    @property
    def is_empty(self) -> bool:
        """Return whether this router has no tokens and no waiting requests."""
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
        """Return an id for a new transfer from the grant."""
        number = self._next_transfer_number
        self._next_transfer_number += 1
        return f"{self.grant}/{number}"

    def on_confirmed(self, entry: grant_entry.GrantEntry | None) -> None:
        """Update the state from the grant in a newly confirmed record.

        Args:
            entry: The grant; None if the record does not have it.
        """
        if entry is None and self.grant_exists:
            # The grant was closed. Its id is not used again, so that a late
            # conversion of a transfer from it can't take tokens of a new grant.
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
