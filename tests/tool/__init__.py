"""Tests of `magnoliasill.tool`."""
