"""Router daemon: HTTP frontend, actors, backend calls, peers and shutdown."""
