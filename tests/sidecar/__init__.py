"""Tests of the edge of a sidecar; the fleets in them share one process of green threads."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()
