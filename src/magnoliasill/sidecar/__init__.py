"""The sidecar daemon: ports, connections and background loops that drive the logic in `mesh`."""
