"""Shared HTTP parts: error responses, a WSGI server and helpers for it."""
