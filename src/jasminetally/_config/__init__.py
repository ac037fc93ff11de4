"""Operators' manifest, its stored form, and its distribution to routers."""
