"""Tests of `magnoliasill.membership`."""
