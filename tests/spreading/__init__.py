"""Tests of `magnoliasill.spreading`."""
