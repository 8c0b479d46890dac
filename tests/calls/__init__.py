"""Tests of `magnoliasill.calls`."""
