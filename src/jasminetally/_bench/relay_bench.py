"""Bench ``relay``: compares streams through a router to direct ones.

All processes run on loopback, so durations depend on the machine.
"""

from __future__ import annotations

import math
from typing import Any

from jasminetally._bench import bench_options
from jasminetally._bench import relay_deployment
from jasminetally._bench import stream_load

# The engine stand-in is written in Python, so one process can't serve all
# streams.
STREAMS_PER_ENGINE = 64
TOKEN_GAP_S = 0.028
ANSWER_TOKENS = 150
# Token gap so short that the router is saturated.
SATURATION_GAP_S = 0.002
SATURATION_TOKENS = 600
# Time over which the starts of the streams are spread.
START_SPREAD_S = 1.5


def run(options: bench_options.BenchOptions) -> dict[str, Any]:
    """Measure the direct path and the router with the same streams.

    Durations depend on the machine, so compare the ratios.

    Args:
        options: Number of streams; other options are not used.

    Returns:
        Figures for JSON: gaps and times to the first token on both paths,
        their ratios, and the router's cost with and without saturation.
    """
    engines = max(2, math.ceil(options.streams / STREAMS_PER_ENGINE))
    threads = 2 * math.ceil(options.streams / engines) + 16
    with relay_deployment.RelayDeployment(
        engines=engines, threads=threads
    ) as deployed:
        deployed.set_engines(
            step_s=TOKEN_GAP_S,
            step_per_sequence_s=0.0,
            batch_limit=options.streams,
            answer_tokens=ANSWER_TOKENS,
        )
        idle_bytes = deployed.router.resident_bytes()
        direct = _run_streams(deployed, options.streams, routed=False)
        routed = _run_routed(deployed, options.streams)
        deployed.set_engines(
            step_s=SATURATION_GAP_S, answer_tokens=SATURATION_TOKENS
        )
        saturation = _run_routed(deployed, options.streams)
        loaded_bytes = deployed.router.resident_bytes()
    summary = {
        "direct": _summarise(direct),
        "router": {**_summarise(routed[0]), **routed[1]},
    }
    return {
        "bench": "relay",
        "streams": options.streams,
        "engines": engines,
        "token_gap_ms": TOKEN_GAP_S * 1000,
        **summary,
        "ratio": {
            name: _ratio(
                summary["router"]["gap_ms"][name],
                summary["direct"]["gap_ms"][name],
            )
            for name in ("p50", "p95", "p99")
        },
        "saturation": {
            "chunks_per_s": round(
                saturation[0].events / saturation[0].elapsed_s
            ),
            "whole": saturation[0].complete,
            **saturation[1],
        },
        "resident_mb": {
            "idle": round(idle_bytes / 1e6, 1),
            "after": round(loaded_bytes / 1e6, 1),
        },
    }


def _run_routed(
    deployed: relay_deployment.RelayDeployment, streams: int
) -> tuple[stream_load.LoadResult, dict[str, float]]:
    before_s = deployed.router.cpu_time_s()
    result = _run_streams(deployed, streams, routed=True)
    used_s = deployed.router.cpu_time_s() - before_s
    cost = {
        "processor_us_per_chunk": round(
            used_s / max(1, result.events) * 1e6, 1
        ),
        "cores": round(used_s / max(0.001, result.elapsed_s), 2),
    }
    return result, cost


def _run_streams(
    deployed: relay_deployment.RelayDeployment, streams: int, *, routed: bool
) -> stream_load.LoadResult:
    targets = []
    for number in range(streams):
        engine = deployed.engines[number % len(deployed.engines)]
        headers = {"X-Request-Id": f"direct-{number}"}
        address = engine.addresses[0]
        if routed:
            address = deployed.router.addresses[0]
            headers = {"Authorization": f"Bearer {relay_deployment.API_KEY}"}
        body = {
            "model": relay_deployment.MODEL,
            "messages": [{"role": "user", "content": f"notes {number}"}],
            "max_tokens": SATURATION_TOKENS,
            "stream": True,
        }
        targets.append(stream_load.StreamTarget(address, headers, body))
    return stream_load.run_streams(targets, start_spread_s=START_SPREAD_S)


def _summarise(result: stream_load.LoadResult) -> dict[str, Any]:
    return {
        "whole": result.complete,
        "chunks": result.events,
        "gap_ms": _percentiles(result.gaps_s),
        "first_token_ms": _percentiles(result.first_token_s),
    }


def _percentiles(values_s: list[float]) -> dict[str, float]:
    ordered = sorted(values_s) or [0.0]
    return {
        f"p{share}": round(
            ordered[min(len(ordered) - 1, len(ordered) * share // 100)] * 1000,
            2,
        )
        for share in (50, 95, 99)
    }


def _ratio(routed: float, direct: float) -> float:
    return round(routed / max(0.01, direct), 2)
