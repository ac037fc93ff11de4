"""Input of a caller's connection: bytes, a request that arrives, a queue."""

from __future__ import annotations

import collections
from collections.abc import Callable
import time
from typing import NamedTuple

from jasminetally._deployment import caller_limits
from jasminetally._forward import caller_request
from jasminetally._forward import request_assembler
from jasminetally._overload import object_costs

# Number of complete requests in the queue at which parsing pauses.
PIPELINED_REQUESTS_LIMIT = 8


class QueuedRequest(NamedTuple):
    """Complete request that waits for its turn.

    Attributes:
        request: The request.
        size: Memory that it takes, in bytes.
    """

    request: caller_request.CallerRequest
    size: int

    @property
    def handled_size(self) -> int:
        """Memory that it takes while it is handled, in bytes."""
        copies = object_costs.HANDLED_BODY_COPIES - 1
        return (
            self.size
            + object_costs.HANDLED_REQUEST_BYTES
            + copies * len(self.request.body)
        )


class RequestIntake:
    """Holds what a caller has sent and what is not handled yet.

    Args:
        limits: Returns the limits on callers' requests that are in force.
        on_continue: Called when the caller waits for ``100 Continue``.

    Attributes:
        queue: Complete requests, in the order received.
    """

    def __init__(
        self,
        limits: Callable[[], caller_limits.CallerLimits],
        on_continue: Callable[[], None],
    ) -> None:
        self.queue: collections.deque[QueuedRequest] = collections.deque()
        self._queued_bytes = 0
        # Received bytes, and how many of them have been parsed.
        self._received = b""
        self._parsed_bytes = 0
        self._assembler = request_assembler.RequestAssembler(
            limits, self._add_request, on_continue
        )

    @property
    def rejection(self) -> request_assembler.Rejection | None:
        """Why a request can't be read; None while none is rejected."""
        return self._assembler.rejection

    @property
    def message_start_s(self) -> float | None:
        """Time at which a request began to arrive; None between requests.

        In seconds of the monotonic clock.
        """
        return self._assembler.message_start_s

    @property
    def head_complete(self) -> bool:
        """Whether the head of the request that arrives is complete."""
        return self._assembler.head_complete

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes wait to be parsed."""
        return bool(self._received)

    @property
    def may_parse(self) -> bool:
        """Whether there are bytes to parse and room in the queue."""
        return self.has_unparsed and len(self.queue) < PIPELINED_REQUESTS_LIMIT

    @property
    def held_bytes(self) -> int:
        """Memory of all input."""
        return (
            len(self._received)
            + self._assembler.held_bytes
            + self._queued_bytes
        )

    def add(self, data: bytes) -> None:
        """Add received bytes behind those that wait."""
        if self._received:
            data = self._received[self._parsed_bytes :] + data
        self._received, self._parsed_bytes = data, 0

    def parse_piece(self) -> None:
        """Parse a piece of the received bytes, and queue what is complete."""
        end = self._parsed_bytes + request_assembler.PIECE_BYTES
        piece = self._received[self._parsed_bytes : end]
        self._parsed_bytes = end
        if end >= len(self._received):
            self._received, self._parsed_bytes = b"", 0
        self._assembler.feed(piece, time.monotonic())

    def pop(self) -> QueuedRequest:
        """Remove the first request of the queue and return it."""
        queued = self.queue.popleft()
        self._queued_bytes -= queued.size
        return queued

    def drop_unfinished(self) -> None:
        """Drop everything but complete requests, and read nothing more."""
        self._received, self._parsed_bytes = b"", 0
        self._assembler.drop()

    def drop_queue(self) -> None:
        """Drop the complete requests."""
        self.queue.clear()
        self._queued_bytes = 0

    def _add_request(self, request: caller_request.CallerRequest) -> None:
        size = (
            object_costs.REQUEST_BYTES
            + len(request.target)
            + len(request.body)
            + sum(
                object_costs.HEADER_BYTES + len(name) + len(value)
                for name, value in request.headers
            )
        )
        self.queue.append(QueuedRequest(request, size))
        self._queued_bytes += size
