"""Tests of requests that crash every backend server that runs them."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import eventlet
import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.call import Call
from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.calls.crash_guard import guard_exchange
from magnoliasill.calls.crash_table import (
    MAX_SUSPECTS,
    BlockRule,
    compute_fingerprint,
    is_blocked,
)
from magnoliasill.calls.crashes import receive_crash_notice, record_crash
from magnoliasill.calls.exchange import exchange_call
from magnoliasill.codes import ErrorCode, LogEvent
from magnoliasill.core.actions import Log, SendMessage
from magnoliasill.core.messages import CrashNotice, MemberRecord
from magnoliasill.core.node import Member, Node
from magnoliasill.errors import CallError

from ..http_helpers import read_request, serve_bytes

RULE = BlockRule()
DAEMONS = 170
FINGERPRINT = compute_fingerprint("PUT", "/fees", b"x")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def build_nodes(seed: int, names: list[str]) -> dict[str, Node]:
    """Return nodes that are members of one cluster, by peer address."""
    records = [
        MemberRecord(name, name[0], f"10.0.{number // 256}.{number % 256}:1", 1)
        for number, name in enumerate(names)
    ]
    nodes = {r.peer_address: Node(r, random.Random(f"{seed} {r.name}")) for r in records}
    for address, node in nodes.items():
        node.members.update({r.name: Member(r, 0.0) for r in records if r.peer_address != address})
    return nodes


def deliver_messages(nodes: dict[str, Node], now: float, actions: list[Any]) -> int:
    """Deliver crash notices until none is left; return the number of messages."""
    queue = deque(actions)
    count = 0
    while queue:
        action = queue.popleft()
        if isinstance(action, SendMessage):
            count += 1
            queue.extend(receive_crash_notice(nodes[action.address], now, action.message))
    return count


class SpreadTest(WithScenarios, testtools.TestCase):
    """A caller sends a crashing request to one daemon after the other of a large data centre.

    Daemons report crashes to each other, so that only a few servers crash before most of them
    block the request.
    """

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in (1, 2, 3)]

    def test_few_servers_crash(self) -> None:
        names = [f"a-{number}" for number in range(DAEMONS)] + ["b-1", "b-2"]
        nodes = build_nodes(self.seed, names)
        local = [node for node in nodes.values() if node.own.data_centre == "a"]
        caller = random.Random(self.seed)
        crashed = 0
        for _ in range(100):
            node = caller.choice(local)
            if is_blocked(node.crashes, 1.0, FINGERPRINT):
                continue
            crashed += 1
            actions = record_crash(node, 1.0, FINGERPRINT, f"10.1.0.{crashed}:80")
            self.assertLess(deliver_messages(nodes, 1.0, actions), DAEMONS * 10)
        self.assertLessEqual(crashed, RULE.servers + 1)
        informed = sum(is_blocked(node.crashes, 1.0, FINGERPRINT) for node in local)
        self.assertGreater(informed, DAEMONS * 0.97)
        others = [node for node in nodes.values() if node.own.data_centre == "b"]
        self.assertFalse(any(node.crashes.suspects for node in others))


class BlockTest(testtools.TestCase):
    """Block durations, and the table of suspect requests."""

    def setUp(self) -> None:
        super().setUp()
        (self.node,) = build_nodes(1, ["a-1"]).values()

    def test_each_trial_costs_one_server_and_blocks_for_longer(self) -> None:
        now, seconds = 1.0, RULE.first_s
        record_crash(self.node, now, FINGERPRINT, "10.0.0.0:1")
        for number in range(1, 10):
            self.assertFalse(is_blocked(self.node.crashes, now, FINGERPRINT))
            actions = record_crash(self.node, now, FINGERPRINT, f"10.0.0.{number}:1")
            self.assertEqual([LogEvent.REQUEST_BLOCKED], [action.event for action in actions])
            now += seconds
            self.assertTrue(is_blocked(self.node.crashes, now - 0.1, FINGERPRINT))
            seconds = min(seconds * 2, RULE.max_s)

    def test_same_server_twice_is_one(self) -> None:
        for _ in range(5):
            record_crash(self.node, 1.0, FINGERPRINT, "10.0.0.1:1")
        self.assertFalse(is_blocked(self.node.crashes, 1.0, FINGERPRINT))

    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_SUSPECTS * 2):
            fingerprint = compute_fingerprint("GET", f"/{number}", b"")
            record_crash(self.node, 1.0, fingerprint, "10.0.0.1:1")
        self.assertEqual(MAX_SUSPECTS, len(self.node.crashes.suspects))

    def test_malformed_notice(self) -> None:
        for notice in (CrashNotice(b"", [b"addr"]), CrashNotice(FINGERPRINT, [b"much too long"])):
            self.assertEqual([], receive_crash_notice(self.node, 1.0, notice))
        self.assertEqual(0, len(self.node.crashes.suspects))


class GuardTest(testtools.TestCase):
    """`guard_exchange` with real sockets."""

    def setUp(self) -> None:
        super().setUp()
        (self.node,) = build_nodes(1, ["a-1"]).values()
        self.logged: list[LogEvent] = []

        def execute_action(action: Any) -> None:
            if isinstance(action, Log):
                self.logged.append(action.event)

        self.exchange = guard_exchange(self.node, exchange_call, lambda: 1.0, execute_action)

    def _send(self, address: str, path: str = "/fees") -> Any:
        call = Call("PUT", path, path, {}, b"x", "", 1e12)
        try:
            return self.exchange(ConnectionPool(), address, call, 5.0).kind.name
        except CallError as error:
            return error.code

    def _start_crashing(self) -> str:
        listener = eventlet.listen(("127.0.0.1", 0))
        host, port = listener.getsockname()

        def serve() -> None:
            sock, _ = listener.accept()
            listener.close()
            read_request(sock)
            sock.close()

        eventlet.spawn(serve)
        return f"{host}:{port}"

    def test_refused_after_the_bound(self) -> None:
        results = [self._send(self._start_crashing()) for _ in range(4)]
        crashes = ["BROKEN"] * RULE.servers
        self.assertEqual([*crashes, *[ErrorCode.REQUEST_CRASHES] * 2], results)
        self.assertEqual([LogEvent.REQUEST_BLOCKED], self.logged)

    def test_answered_request_is_cleared(self) -> None:
        def handle(sock: Any) -> None:
            while read_request(sock):
                sock.sendall(OK)

        self._send(self._start_crashing())
        self.assertEqual("SUCCEEDED", self._send(serve_bytes(handle)))
        self.assertEqual("BROKEN", self._send(self._start_crashing()))
        self.assertEqual("SUCCEEDED", self._send(serve_bytes(handle)))

    def test_reset_by_a_living_server_is_no_crash(self) -> None:
        def handle(sock: Any) -> None:
            if b"/healthz" in read_request(sock):
                sock.sendall(OK)
            sock.close()

        address = serve_bytes(handle)
        results = {self._send(address) for _ in range(4)}
        self.assertEqual(({"BROKEN"}, 0), (results, len(self.node.crashes.suspects)))
