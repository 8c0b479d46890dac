"""Tests of the adapter to the platform: headers, heartbeats, configuration, settings and store."""
