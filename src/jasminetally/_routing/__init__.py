"""Admission, server selection, retries and stream matching."""
