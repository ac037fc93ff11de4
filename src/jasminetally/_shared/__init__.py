"""Utilities for use by several packages: rate limits, hashing, forecasts."""
