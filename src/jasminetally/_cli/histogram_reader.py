"""Histograms of running routers."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import urllib3

from jasminetally._observe import histograms

REQUEST_TIMEOUT_S = 2.0

SummariesByAccount = dict[
    str, dict[str, dict[str, histograms.HistogramSummary]]
]


def read_histograms(
    addresses: Iterable[str],
) -> dict[str, SummariesByAccount | None]:
    """Read the histograms of routers.

    Args:
        addresses: Addresses for callers, ``ip:port``.

    Returns:
        Address to summaries by client account, tier and measure; None for a
        router that did not answer.
    """
    return {address: _read_one(address) for address in addresses}


def _read_one(address: str) -> SummariesByAccount | None:
    try:
        reply = urllib3.request(
            "GET",
            f"http://{address}/v1/histograms",
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
        return msgspec.json.decode(reply.data, type=SummariesByAccount)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        return None
