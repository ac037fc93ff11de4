"""Relay that forwards any HTTP request to a backend server."""
