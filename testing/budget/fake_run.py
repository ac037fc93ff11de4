"""Request that was admitted, as an engine runs it."""

from __future__ import annotations


class Run:
    """A request that was admitted, from reservation to settlement."""

    def __init__(self, req, actual, claims, granted):
        self.req = req
        self.actual = min(actual, req.tokens)
        self.claims = claims
        self.isolated = granted.isolated
        self.sent = False
        self.finished = False
