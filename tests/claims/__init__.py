"""Tests of `magnoliasill.claims`."""
