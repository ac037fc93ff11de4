"""Interface of the budget policies under comparison."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import top_up
    from jasminetally._bench import verdict


class RouterPolicy(Protocol):
    """Budget decisions of one router process under one policy."""

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        """Decide whether a request runs; ``decide`` may be called later."""

    def finish(
        self,
        req: bench_request.BenchRequest,
        tokens: int,
        release: Callable[[], None],
    ) -> None:
        """Settle a request that ran; call ``release`` to send its answer."""

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Apply the top-ups of a newer configuration."""
