"""The daemon process: settings, ports, links, logs and metrics."""
