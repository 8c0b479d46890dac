"""Tests of a sidecar's network code; each runs a whole fleet as green threads of one process."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()
