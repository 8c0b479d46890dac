"""Tests of the sidecar's state and decision logic."""
