"""Choice of the backend server that runs a request."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._orders import rendezvous
from jasminetally._placing import placement_request
from jasminetally._placing import server_record
from jasminetally._placing import server_roster

# Prompt tokens that cost as much as one more request in an engine's batch.
TOKENS_PER_RUNNING = 250
# Error share above which a server counts as failing; single failures stay
# below it.
FAILING_SHARE = 0.3
# Cost that a failing server adds, in prompt tokens or running requests.
FAILING_COST = 1e9
# A server that was sent work and has said nothing for this long is avoided;
# first events and plain answers take a third of it on a heavy day.
SILENCE_S = 1.0


class Placer:
    """Choose the server with the least expected delay.

    For model engines the delay is that of the prompt tokens waiting there and
    of the request's own tokens that the engine does not keep. Requests that
    share their leading parts hash to the same engine, so routers agree on a
    place for shared parts without a message. Answers the load of many long
    prompts with shared parts over few engines.

    For plain services the delay is the number of requests under way for each
    slot.
    """

    def __init__(self, roster: server_roster.ServerRoster) -> None:
        self._roster = roster

    def choose(
        self, req: placement_request.PlacementRequest, now_s: float
    ) -> server_record.ServerRecord | None:
        """Return the server for a request, or None without a candidate."""
        candidates = [
            record
            for record in self._roster.usable(req.service)
            if record.listed.server not in req.excluded
        ]
        if not candidates:
            return None
        cost = self._engine_cost(req) if req.parts else _service_cost
        return min(
            candidates,
            key=lambda record: cost(record) + _distrust(record, now_s),
        )

    def _engine_cost(
        self, req: placement_request.PlacementRequest
    ) -> Callable[[server_record.ServerRecord], float]:
        shared = req.parts[:-1] or req.parts
        shared_tokens = sum(part.tokens for part in shared)
        anchor = shared[-1].part
        home = max(
            (
                record
                for record in self._roster.usable(req.service)
                if not record.error_share > FAILING_SHARE
            ),
            key=lambda record: rendezvous.share(anchor, record.listed.server),
            default=None,
        )

        def cost(record: server_record.ServerRecord) -> float:
            load = record.load
            cached = record.cached_tokens(req.parts)
            if record is home:
                # Another router has probably sent these parts there.
                cached = max(cached, shared_tokens)
            tokens = load.waiting_tokens + req.prompt_tokens - cached
            tokens += TOKENS_PER_RUNNING * load.running
            return tokens * max(1.0, record.slowness)

        return cost


def _service_cost(record: server_record.ServerRecord) -> float:
    load = record.load.running
    slots = max(1, record.listed.slots)
    spread = rendezvous.share(str(load), record.listed.server) * 0.01
    return (load / slots + spread) * max(1.0, record.slowness)


def _distrust(record: server_record.ServerRecord, now_s: float) -> float:
    silent_s = now_s - (record.silent_since_s or now_s)
    doubted = record.doubted_until_s > now_s or silent_s > SILENCE_S
    failing = record.error_share > FAILING_SHARE
    return FAILING_COST * (2 * doubted + failing)
