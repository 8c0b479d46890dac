"""Defines service files, the versioned configuration that they form and its route table."""
