"""Grants, reservations, settlements and transfers of one router's budgets."""
