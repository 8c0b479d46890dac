"""The way of a version to every daemon."""
