"""Prepaid tokens of client accounts, handed out by one router for each."""
