"""Benchmarks of the daemons, the sidecar and the takeover policy."""
