"""The daemon process: settings, ports, peer sockets, logs and metrics."""
