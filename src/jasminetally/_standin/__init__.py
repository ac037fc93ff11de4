"""Stand-ins for the systems that jasminetally talks to."""
