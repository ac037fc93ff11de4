"""Run of an admitted request at a fake engine."""

from __future__ import annotations


class Run:
    """An admitted request, from its reservation to its settlement."""

    def __init__(self, req, actual_tokens, needs_claim, granted):
        self.req = req
        self.actual_tokens = min(actual_tokens, req.tokens)
        self.needs_claim = needs_claim
        self.isolated = granted.isolated
        self.sent = False
        self.finished = False
