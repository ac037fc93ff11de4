"""Account records and their pure transitions."""
