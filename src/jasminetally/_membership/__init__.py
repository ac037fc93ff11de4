"""Instances, probes, addresses and confirmation of death."""
