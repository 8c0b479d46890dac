"""Tests of the daemon process: administration port, metrics and settings."""
