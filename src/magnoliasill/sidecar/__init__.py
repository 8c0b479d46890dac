"""The edge of a sidecar: ports, connections and loops around the decisions of `mesh`."""
