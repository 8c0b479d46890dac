"""Publishing: checks, the head and the blobs in the store, teams and history."""
