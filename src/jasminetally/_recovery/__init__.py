"""Journals of routers at their peers and recovery of dead routers' grants."""
