"""Bench ``control``: cost of control work as a deployment grows."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

from jasminetally._bench import budget_load
from jasminetally._bench import config_load
from jasminetally._bench import control_size
from jasminetally._bench import entry_load
from jasminetally._bench import forked_measure
from jasminetally._bench import membership_load
from jasminetally._bench import order_load

if TYPE_CHECKING:
    from jasminetally._bench import bench_options
    from jasminetally._bench import control_load

LOADS: dict[str, type[control_load.ControlLoad]] = {
    "entry_router": entry_load.EntryLoad,
    "budget_writer": budget_load.BudgetLoad,
    "request_claims": budget_load.ClaimLoad,
    "engine_orders": order_load.OrderLoad,
    "configuration_spread": config_load.ConfigLoad,
    "membership": membership_load.MembershipLoad,
}
ROUTER_MODULE = "jasminetally._router.router_daemon"
# Not used: every role in LOADS is measured.
NOT_MEASURED = {"engine_orders": "_orders has no decision logic yet"}
SIZES = {
    "routers": (8, 64, 185, 370),
    "engines": (12, 400, 1500, 3000),
    "budgets": (20, 200, 600, 1200),
    "changes": (1440, 10_000, 20_000, 41_000),
}
MEASURED_SECONDS = {"budget_writer": 10, "request_claims": 10}
# Virtual seconds; long enough for two configuration changes at the base rate.
DEFAULT_MEASURED_SECONDS = 120


def run(options: bench_options.BenchOptions) -> dict[str, object]:
    """Measure each role while one dimension of the size grows.

    Args:
        options: Not used; the loads have no options.

    Returns:
        Figures for JSON. They are for one router: processor seconds,
        messages, bytes and platform calls in each second, and ``load_bytes``,
        the resident bytes of the load. Added to ``idle_rss_bytes``, the
        resident bytes of a router's process without state, they give the
        resident bytes of the whole process. Each pair of role and dimension
        has the sizes, the figures at each size and the slope of each figure
        for one further unit.
    """
    del options
    gc.freeze()
    base = control_size.ControlSize()
    return {
        "bench": "control",
        "base": base._asdict(),
        "interpreter_rss_bytes": forked_measure.measure_import_bytes(""),
        "idle_rss_bytes": forked_measure.measure_import_bytes(ROUTER_MODULE),
        "roles": {
            role: {
                dimension: _measure_role(role, dimension, base)
                for dimension in SIZES
            }
            for role in LOADS
        },
    }


def _measure_role(
    role: str, dimension: str, base: control_size.ControlSize
) -> dict[str, object]:
    sizes = SIZES[dimension]
    figures = [
        forked_measure.measure_load(
            lambda size=size: LOADS[role](base._replace(**{dimension: size})),
            MEASURED_SECONDS.get(role, DEFAULT_MEASURED_SECONDS),
        )
        for size in sizes
    ]
    names = figures[0]
    return {
        "sizes": list(sizes),
        "figures": {name: [each[name] for each in figures] for name in names},
        "slope": {
            name: fit_slope(sizes, [each[name] for each in figures])
            for name in names
        },
    }


def fit_slope(sizes: tuple[int, ...], values: list[float]) -> float:
    """Return the least-squares slope of values over sizes."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    return (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / spread
    )
