"""Handles calls: accepts them on the caller port and forwards them to backend servers."""
