"""The core of a sidecar: tables and decisions, without clocks, sockets or threads."""
