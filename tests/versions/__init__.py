"""Tests of `magnoliasill.versions`."""
