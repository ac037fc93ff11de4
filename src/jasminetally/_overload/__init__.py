"""Bounds on the memory and descriptors that clients make a router hold."""
