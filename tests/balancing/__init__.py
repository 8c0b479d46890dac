"""Tests of `magnoliasill.balancing`."""
