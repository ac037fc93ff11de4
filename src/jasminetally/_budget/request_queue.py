"""Queue of requests that wait for the tokens of a budget."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._budget import pending_request


class RequestQueue:
    """Waiting requests in order of arrival.

    Attributes:
        tokens: Sum of the bounds of the waiting requests.
    """

    def __init__(self) -> None:
        self._items: list[pending_request.PendingRequest] = []
        self.tokens = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: pending_request.PendingRequest) -> None:
        """Append a request."""
        self._items.append(item)
        self.tokens += item.request.tokens

    def remove_matching(
        self, predicate: Callable[[pending_request.PendingRequest], bool]
    ) -> list[pending_request.PendingRequest]:
        """Remove and return the requests for which a predicate holds.

        The predicate is called in order of arrival, so a later, smaller request
        may overtake one that does not fit.
        """
        taken: list[pending_request.PendingRequest] = []
        kept: list[pending_request.PendingRequest] = []
        for item in self._items:
            (taken if predicate(item) else kept).append(item)
        if taken:
            self._items = kept
            self.tokens = sum(item.request.tokens for item in kept)
        return taken

    def remove(self, reservation: str) -> bool:
        """Remove a request by its reservation; return whether it was found."""
        return bool(
            self.remove_matching(
                lambda item: item.request.reservation == reservation
            )
        )

    def fitting_tokens(self, tokens: int) -> int:
        """Return how many tokens the waiting requests could reserve.

        Args:
            tokens: Tokens to distribute in order of arrival; requests that do
                not fit are passed over.
        """
        left = tokens
        for item in self._items:
            if item.request.tokens <= left:
                left -= item.request.tokens
        return tokens - left

    def smallest_bound(self) -> int:
        """Return the smallest waiting bound in tokens, or 0 if none waits."""
        return min((item.request.tokens for item in self._items), default=0)

    def earliest_deadline_s(self) -> float | None:
        """Return the earliest deadline, or None if no request waits."""
        return min((item.deadline_s for item in self._items), default=None)

    def first_arrival_s(self) -> float | None:
        """Return the earliest arrival time, or None if no request waits."""
        return self._items[0].arrived_s if self._items else None

    def last_arrival_s(self) -> float | None:
        """Return the latest arrival time, or None if no request waits."""
        return self._items[-1].arrived_s if self._items else None
