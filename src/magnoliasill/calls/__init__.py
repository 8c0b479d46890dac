"""The way of a call from its caller to a backend server."""
