"""The operators' command-line tool, `magnoliasill`."""
