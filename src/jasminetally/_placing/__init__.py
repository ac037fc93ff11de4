"""Decisions on who runs a request: placement, admission and refusal."""
