"""Fakes of the external systems, for development and tests."""

from __future__ import annotations

import warnings

warnings.filterwarnings("ignore", message=r"(?s).*Eventlet is deprecated")
