"""Tests of magnoliasill."""
