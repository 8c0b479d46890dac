"""Tests of the core of a sidecar."""
