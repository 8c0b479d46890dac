"""Adapter to the users' platform: its headers, formats and store API. It makes no decisions."""
