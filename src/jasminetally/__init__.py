"""Routers that serve language model requests against prepaid token budgets."""

from __future__ import annotations

__version__ = "0.1.0"
