"""Settings files of the daemons: schemas, checks and loading."""
