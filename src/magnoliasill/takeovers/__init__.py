"""The way of a service from one release to the next."""
