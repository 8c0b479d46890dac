"""The sidecar's state and decision logic, free of clocks, sockets and threads."""
