"""Simulated platform, engine and service, for the demo, tests and benches."""
