"""Messages between routers, and each router's view of the other routers."""
