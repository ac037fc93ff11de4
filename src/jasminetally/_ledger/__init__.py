"""Account records and the pure functions that apply operations to them."""
