"""Requests for the histograms of running routers."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import urllib3

from jasminetally._observe import histograms
from jasminetally._shared import whole_reply

# Applies to the connection and to each read of the response.
REQUEST_TIMEOUT_S = 2.0

# Client account -> tier -> measure -> summary.
SummariesByAccount = dict[
    str, dict[str, dict[str, histograms.HistogramSummary]]
]


def read_histograms(
    addresses: Iterable[str],
) -> dict[str, SummariesByAccount | None]:
    """Request the histograms of each router, one after the other.

    Args:
        addresses: The routers' addresses for callers, ``ip:port``.

    Returns:
        Address -> summaries by client account, tier and measure; None if the
        router did not answer or its answer can't be decoded.
    """
    with whole_reply.make_pool_manager(retries=False) as http:
        return {
            address: _read_router_histograms(http, address)
            for address in addresses
        }


def _read_router_histograms(
    http: urllib3.PoolManager, address: str
) -> SummariesByAccount | None:
    try:
        reply = http.request(
            "GET",
            f"http://{address}/v1/histograms",
            timeout=REQUEST_TIMEOUT_S,
        )
        return msgspec.json.decode(reply.data, type=SummariesByAccount)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        return None
