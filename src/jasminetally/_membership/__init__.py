"""Membership of the fleet: instance view, addresses, deaths and drain."""
