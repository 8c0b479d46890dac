"""Tests of the peer sockets in a subprocess whose standard library eventlet has patched."""

from __future__ import annotations

import subprocess
import sys

import testtools

from fakes.processes import HOST, ROOT, find_ports

TIMEOUT_S = 30.0
# Connects while a green thread holds the lock that the messaging library's native threads take to
# report the connection.
CONTENDED_LOCK_PROGRAM = """
import warnings
warnings.simplefilter("ignore")
import eventlet
eventlet.monkey_patch()
from magnoliasill.process.peers import open_peers, receive_from_peers, send_to_peer

receiver, sender = open_peers("{first}"), open_peers("{second}")
received = eventlet.Queue()
eventlet.spawn(receive_from_peers, receiver, received.put)
with receiver.listener._pipe_notify_lock:
    send_to_peer(sender, "{first}", b"one")
    eventlet.sleep(0.5)
with eventlet.Timeout(10):
    print(received.get().decode())
"""


class LibraryThreadsTest(testtools.TestCase):
    """Native threads of the messaging library and green threads of the daemon share a lock.

    A message still has to arrive when both contend for it.
    """

    def test_contended_lock(self) -> None:
        first, second = (f"{HOST}:{port}" for port in find_ports(2))
        program = CONTENDED_LOCK_PROGRAM.format(first=first, second=second)
        result = subprocess.run(
            [sys.executable, "-c", program],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(("one\n", ""), (result.stdout, result.stderr))
