"""Selection of the backend server that runs a request."""
