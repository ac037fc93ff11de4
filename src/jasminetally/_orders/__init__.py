"""Sends orders to model engines under leases with fencing numbers."""
