"""Limits what the garbage collector costs a process with much state and few reference cycles."""

from __future__ import annotations

import gc

NEW_OBJECTS = 5_000  # container objects between two collections; about 1 MB


def pause_collection() -> None:
    """Collect nothing while modules are imported, whose objects stay."""
    gc.disable()


def resume_collection() -> None:
    """Collect again, less often than by default, and without the objects that exist now."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(NEW_OBJECTS, *gc.get_threshold()[1:])
    gc.enable()
