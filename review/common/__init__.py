"""Stand-ins of the review's scripts: the store, servers and clients."""
