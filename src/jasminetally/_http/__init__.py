"""HTTP server parts shared by the daemons and the stand-ins."""
