"""Tests of `magnoliasill.publishing`."""
