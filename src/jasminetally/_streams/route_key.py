"""Requests that a route matches."""

from __future__ import annotations

from typing import NamedTuple


class RouteKey(NamedTuple):
    """Requests that a route matches.

    Attributes:
        host: Value of the Host header.
        path_prefix: Prefix of the path; begins and ends with a slash.
    """

    host: str
    path_prefix: str
