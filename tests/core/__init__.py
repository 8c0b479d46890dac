"""Tests of `magnoliasill.core`."""
