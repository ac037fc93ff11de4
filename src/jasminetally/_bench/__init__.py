"""Benches with baselines."""
