"""Checks and stores new versions of the configuration, their history and the teams' tokens."""
