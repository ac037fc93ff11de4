"""Journals of reservations and recovery of dead routers' grants."""
