"""Port, in-memory version and HTTP client of the platform's object store."""
