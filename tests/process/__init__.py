"""Tests of `magnoliasill.process`."""
