"""Tests of the daemon, the command-line tool and the development tools."""
