"""Structured events, daemon logging, metrics and latency histograms."""
