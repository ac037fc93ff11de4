"""Look-up of answers for requests that have run before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._bench import verdict
from jasminetally._ledger import request_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import peer_directory

PEER_REPLY_TIMEOUT_S = 0.1
# Content of a stored answer. The bench only checks whether it exists.
ANSWER_BODY = b"answer"


class AnswerFinder:
    """Finds the answer of an earlier run of a request."""

    def __init__(
        self,
        sim: budget_simulation.BudgetSimulation,
        process: host.Host,
        peers: peer_directory.PeerDirectory,
    ) -> None:
        self._sim = sim
        self._process = process
        self._peers = peers

    def store_answer(
        self, req: bench_request.BenchRequest, done: Callable[[], None]
    ) -> None:
        """Store the answer of an unrepeatable request on the platform."""
        self._sim.platform.write(
            self._process, _answer_key(req), ANSWER_BODY, 0, lambda _: done()
        )

    def find_answer(
        self,
        req: bench_request.BenchRequest,
        entry: request_entry.RequestEntry,
        *,
        decide: Callable[[verdict.Verdict], None],
        rerun: Callable[[], None] | None,
    ) -> None:
        """Look up an answer at a peer, on the platform or in an open stream.

        A request that has not completed is answered from the engine's open
        stream. The answer of a completed one is first looked up at the
        router that ran it; a repeatable request that is not found there
        runs again, because its answer is not stored.

        Args:
            req: Request that was sent again.
            entry: Entry of its idempotency key in the account record.
            decide: Called with the verdict.
            rerun: Runs a repeatable request again without billing it.
        """
        if entry.state != request_entry.COMPLETED:
            self._join_stream(req, decide)
            return

        def on_peer_miss() -> None:
            if req.repeatable and rerun is not None:
                rerun()
                return
            self._read_stored(req, decide)

        self._ask_peer(entry.incarnation, req, decide, on_peer_miss)

    def _join_stream(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        """Wait for the open stream; without one the outcome is unknown."""

        def ended(answered: bool) -> None:
            decide(verdict.ANSWERED if answered else verdict.UNKNOWN)

        self._sim.engines.join_stream(self._process, req.key_hash, ended)

    def _ask_peer(
        self,
        incarnation: str,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
        on_miss: Callable[[], None],
    ) -> None:
        peer = self._peers.host_of(incarnation)
        if peer is None:
            on_miss()
            return
        awaiting_reply = [True]

        def on_reply(answered: bool) -> None:
            if not awaiting_reply:
                return
            awaiting_reply.clear()
            if answered:
                decide(verdict.ANSWERED)
            else:
                on_miss()

        def answer_at_peer() -> None:
            answered = self._sim.routers[peer.instance].has_answer(req.key_hash)
            self._sim.net.send(peer, self._process, on_reply, answered)

        self._sim.net.send(self._process, peer, answer_at_peer, size_bytes=120)
        self._process.call_after(PEER_REPLY_TIMEOUT_S, on_reply, False)

    def _read_stored(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        def on_read(result: object) -> None:
            failed = isinstance(result, _errors.PlatformError)
            decide(verdict.UNKNOWN if failed else verdict.ANSWERED)

        self._sim.platform.get(self._process, _answer_key(req), on_read)


def _answer_key(req: bench_request.BenchRequest) -> str:
    return f"answer/{req.account}/{req.key_hash}"
