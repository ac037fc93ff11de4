"""Configuration of a deployment: routes, services, client accounts, limits."""
