"""Leases and orders to engines."""
