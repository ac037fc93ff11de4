"""Continuation of streams at the server version that began them."""
