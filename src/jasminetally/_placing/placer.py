"""Choice of the backend server that runs a request."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import random
import statistics

from jasminetally._placing import placement_request
from jasminetally._placing import ranked_server
from jasminetally._placing import server_record
from jasminetally._placing import server_roster
from jasminetally._shared import rendezvous

# Prompt tokens that cost as much as one more request in an engine's batch.
TOKENS_PER_RUNNING = 40
# Error share above which a server counts as failing; single failures stay
# below it.
FAILING_SHARE = 0.3
# Cost that a failing server adds, in prompt tokens or running requests.
FAILING_COST = 1e9
# Cost, in prompt tokens, of a server all of whose slots are taken.
FULL_COST = 100_000
# How much delay, as a multiple of the shared tokens, a request accepts to run
# at the first and at the second server that its shared parts hash to. Reading
# parts again costs the engines as much as the delay that it saves.
PATIENCE = (4.0, 1.0)
# Weight of the waiting tokens that other routers report: a report is up to a
# quarter of a second old, and most prompts are read in a tenth.
REPORTED_WEIGHT = 0.4
# Share of a slot by which the choice among plain servers varies.
SPREAD_SHARE = 0.05
# Pace below which differences between servers are not measurable.
LEAST_PACE = 0.05
# A server that was sent work and has said nothing for this long is avoided;
# first events and plain answers take a third of it on a heavy day.
SILENCE_S = 1.0
# Servers that are ranked: the choice, and two for the log.
RANKED = 3


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

    def __init__(
        self, roster: server_roster.ServerRoster, rng: random.Random
    ) -> None:
        self._roster = roster
        self._rng = rng

    def rank(
        self, req: placement_request.PlacementRequest, now_s: float
    ) -> list[ranked_server.RankedServer]:
        """Return the best servers for a request, the best first."""
        cost = self._engine_cost(req) if req.parts else self._service_cost(req)
        return heapq.nsmallest(
            RANKED,
            (
                ranked_server.RankedServer(
                    cost(record) + _distrust(record, now_s), record
                )
                for record in self._roster.usable(req.service)
                if record.listed.server not in req.excluded
            ),
            key=lambda found: found.cost,
        )

    def _engine_cost(
        self, req: placement_request.PlacementRequest
    ) -> Callable[[server_record.ServerRecord], float]:
        shared = req.parts[:-1] or req.parts
        shared_tokens = sum(part.tokens for part in shared)
        preferred = self._preferred(req.service, shared[-1].part)
        usual_pace = self._usual_pace(req.service)

        def cost(record: server_record.ServerRecord) -> float:
            cached = record.cached_tokens(req.parts)
            patience = 0.0
            if record.listed.server in preferred:
                # Another router has probably sent these parts there.
                cached = max(cached, shared_tokens)
                rank = preferred.index(record.listed.server)
                patience = PATIENCE[rank] * shared_tokens
            waiting = (
                record.own.waiting_tokens
                + REPORTED_WEIGHT * record.elsewhere.waiting_tokens
            )
            running = record.load.running
            tokens = waiting + req.prompt_tokens - cached
            tokens += TOKENS_PER_RUNNING * running
            if running >= record.listed.slots:
                tokens += FULL_COST
            return tokens * _slowness(record, usual_pace) - patience

        return cost

    def _preferred(self, service: str, anchor: str) -> list[str]:
        """Return the servers at which shared parts belong, in order."""
        ranked = sorted(
            (
                record.listed.server
                for record in self._roster.usable(service)
                if not record.error_share > FAILING_SHARE
            ),
            key=lambda server: rendezvous.weight(anchor, server),
            reverse=True,
        )
        return ranked[: len(PATIENCE)]

    def _usual_pace(self, service: str) -> float:
        paces = [record.pace for record in self._roster.usable(service)]
        return statistics.median(paces) if paces else 1.0

    def _service_cost(
        self, req: placement_request.PlacementRequest
    ) -> Callable[[server_record.ServerRecord], float]:
        usual_pace = self._usual_pace(req.service)

        def cost(record: server_record.ServerRecord) -> float:
            running = record.load.running
            share = (running + 1) / max(1, record.listed.slots)
            # Routers with the same view choose different servers.
            spread = self._rng.random() * SPREAD_SHARE
            return (share + spread) * _slowness(record, usual_pace)

        return cost


def _slowness(record: server_record.ServerRecord, usual_pace: float) -> float:
    """Return how many times longer than usual a server takes, at least 1."""
    return max(1.0, record.pace / max(usual_pace, LEAST_PACE))


def _distrust(record: server_record.ServerRecord, now_s: float) -> float:
    silent_s = now_s - (record.silent_since_s or now_s)
    doubted = record.doubted_until_s > now_s or silent_s > SILENCE_S
    failing = record.error_share > FAILING_SHARE
    return FAILING_COST * (2 * doubted + failing)
