"""Gradual takeover of a service's traffic by a new release."""
