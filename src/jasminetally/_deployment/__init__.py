"""What the operator declares: routes, services, client accounts, limits."""
