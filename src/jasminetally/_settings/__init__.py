"""Settings of the daemons."""
