"""Tests of `magnoliasill.takeovers`."""
