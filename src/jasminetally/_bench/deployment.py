"""Sizes and load of the two users' deployments."""

from __future__ import annotations

from typing import NamedTuple


class Deployment(NamedTuple):
    """Size and load of one deployment today (design 1.3).

    Attributes:
        name: ``zadruga`` or ``pieghevole``.
        routers: Data centre of each router, by its instance.
        engines: Number of model engines.
        peer_delay_s: One-way delay between data centres in seconds.
        caller_delay_s: One-way delay between callers and routers in seconds.
        requests_per_s: Mean rate of new requests.
        prompt_bytes: Size of the smallest and of the largest prompt.
        max_tokens: Smallest and largest ``max_tokens`` of a request.
        step_s: Seconds in which an engine generates one token.
        unrepeatable_share: Share of requests that may run only once, 0 to 1.
    """

    name: str
    routers: dict[str, str]
    engines: int
    peer_delay_s: float
    caller_delay_s: float
    requests_per_s: float
    prompt_bytes: tuple[int, int]
    max_tokens: tuple[int, int]
    step_s: float
    unrepeatable_share: float


ZADRUGA = Deployment(
    name="zadruga",
    routers={
        "lj-1": "ljubljana",
        "lj-2": "ljubljana",
        "kr-1": "kranj",
        "kr-2": "kranj",
        "do-1": "domzale",
        "ka-1": "kamnik",
    },
    engines=5,
    peer_delay_s=0.001,
    caller_delay_s=0.003,
    requests_per_s=24.0,
    prompt_bytes=(400, 6000),
    max_tokens=(64, 512),
    step_s=0.006,
    unrepeatable_share=0.25,
)
PIEGHEVOLE = Deployment(
    name="pieghevole",
    routers={
        "mi-a1": "milano-a",
        "mi-a2": "milano-a",
        "mi-a3": "milano-a",
        "mi-b1": "milano-b",
        "mi-b2": "milano-b",
        "bg-1": "bergamo",
        "bg-2": "bergamo",
        "bs-1": "brescia",
        "bs-2": "brescia",
    },
    engines=9,
    peer_delay_s=0.0005,
    caller_delay_s=0.003,
    requests_per_s=24.0,
    prompt_bytes=(200, 12000),
    max_tokens=(32, 1500),
    step_s=0.004,
    unrepeatable_share=0.15,
)
DEPLOYMENTS = {each.name: each for each in (ZADRUGA, PIEGHEVOLE)}
