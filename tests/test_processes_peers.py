"""Tests of the peer sockets in a process of their own, with the patched standard library."""

from __future__ import annotations

import subprocess
import sys

import testtools

from fakes.processes import HOST, ROOT, find_ports

TIMEOUT_S = 30.0
# The library's threads report a connection while the daemon holds the same lock.
CONTENDED = """
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
    """The messaging library's own threads and the daemon's green threads share locks."""

    def test_contended_lock(self) -> None:
        first, second = (f"{HOST}:{port}" for port in find_ports(2))
        code = CONTENDED.format(first=first, second=second)
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(("one\n", ""), (done.stdout, done.stderr))
