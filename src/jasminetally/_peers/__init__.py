"""Messages between routers, and what a router knows of the others."""
