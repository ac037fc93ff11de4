"""Admission, choice of backend server, retries and stream matching."""
