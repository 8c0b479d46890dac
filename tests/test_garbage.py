"""Tests of the garbage collector's limits, in a process of their own."""

from __future__ import annotations

import subprocess
import sys

import testtools

PROGRAM = """
import gc, weakref
from magnoliasill.garbage import NEW_OBJECTS, pause_collection, resume_collection

class Cycle:
    def __init__(self):
        self.own = self

pause_collection()
lost = weakref.ref(Cycle())
resume_collection()
print(gc.isenabled(), gc.get_freeze_count() > 1000, lost() is None)
cycles = [weakref.ref(Cycle()) for _ in range(50 * NEW_OBJECTS)]
print(sum(cycle() is not None for cycle in cycles) <= 3 * NEW_OBJECTS)
"""


class CollectionTest(testtools.TestCase):
    # a process that collects too little grows until it ends for its memory
    def test_cycles_are_collected_during_and_after_the_start(self) -> None:
        command = [sys.executable, "-W", "ignore", "-c", PROGRAM]
        printed = subprocess.run(command, capture_output=True, text=True, check=True).stdout
        self.assertEqual(["True", "True", "True", "True"], printed.split())
