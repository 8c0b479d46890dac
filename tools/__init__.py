"""Chores of the project."""
