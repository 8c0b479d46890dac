"""A simulated cluster for failure tests of claims: several nodes and a store in one process."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import attrs
import eventlet

from fakes.store import FakeStore, apply_request
from magnoliasill.calls.call import Call
from magnoliasill.calls.error_responses import is_not_run
from magnoliasill.calls.exchange import CallResponse
from magnoliasill.claims.idempotency import PeerMessaging, resolve_wait, run_once
from magnoliasill.core.actions import Log, ResetPeer, ResolveWait, SendMessage, StoreWrite
from magnoliasill.core.engine import step
from magnoliasill.core.events import MessageReceived, StoreFailed, Tick
from magnoliasill.core.messages import ClaimQuery, ClaimReply, ClaimRequest, MemberRecord
from magnoliasill.core.node import Member, Node
from magnoliasill.errors import CallError, StoreError, StoreOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S = 0.02
PAST_LEASE_S = 4.0
STORE_TIMEOUT_S = 0.2


@attrs.define
class Cluster:
    """The nodes, the faults between them, and a record of the steps and runs.

    Attributes:
        nodes: The nodes by peer address.
        peers: Passes messages between the calls of a node and the other nodes, by peer address.
        fake_store: The store.
        clock_offset: Seconds added to the clock of every node and of the store.
        dead: The addresses of killed processes.
        paused_actions: The deferred actions of each paused process, by peer address.
        partitions: Pairs of addresses that can't reach each other; the store's address is `store`.
        faults: Functions that inject a fault once, before the step of the given name.
        runs: The number of runs of each key.
        steps: The names of the steps reached.
        false_not_run: Keys whose request ran although the caller's error said that it did not.
    """

    nodes: dict[str, Node] = attrs.field(factory=dict)
    peers: dict[str, PeerMessaging] = attrs.field(factory=dict)
    fake_store: FakeStore = attrs.field(factory=FakeStore)
    clock_offset: float = 0.0
    dead: set[str] = attrs.field(factory=set)
    paused_actions: dict[str, list[Callable[[], None]]] = attrs.field(factory=dict)
    partitions: set[frozenset[str]] = attrs.field(factory=set)
    faults: dict[str, Callable[[str], None]] = attrs.field(factory=dict)
    runs: dict[str, int] = attrs.field(factory=dict)
    steps: list[str] = attrs.field(factory=list)
    false_not_run: list[str] = attrs.field(factory=list)
    ticker: Any = None

    def now(self) -> float:
        """Return the time of the common clock."""
        return time.monotonic() + self.clock_offset


def build_cluster(names: tuple[str, ...] = ("a-1", "a-2", "b-1"), seed: int = 1) -> Cluster:
    """Build a cluster whose nodes know each other and receive ticks."""
    cluster = Cluster()
    for name in names:
        start_node(cluster, name, seed)
    cluster.ticker = eventlet.spawn(_tick, cluster)
    return cluster


def name_address(name: str) -> str:
    """Return the peer address of a node."""
    return f"10.0.0.{name[-1]}:{ord(name[0])}"


def start_node(cluster: Cluster, name: str, seed: int) -> str:
    """Start a process with empty state, and return its peer address."""
    address = name_address(name)
    node = Node(MemberRecord(name, name[0], address, 1), random.Random(f"{name} {seed}"))
    cluster.dead.discard(address)
    cluster.nodes[address] = node
    cluster.peers[address] = PeerMessaging(
        lambda to, message: carry_out(cluster, address, SendMessage(to, message))
    )
    for other in cluster.nodes.values():
        if other is not node:
            other.members[name] = Member(node.own, 0.0)
            node.members[other.own.name] = Member(other.own, 0.0)
    return address


def submit(cluster: Cluster, address: str, event: Any) -> None:
    """Pass an event to a node's engine; a paused process handles it after it resumes."""
    if address in cluster.paused_actions:
        cluster.paused_actions[address].append(lambda: submit(cluster, address, event))
        return
    if address in cluster.dead:
        return
    for action in step(cluster.nodes[address], cluster.now(), event):
        carry_out(cluster, address, action)


def carry_out(cluster: Cluster, address: str, action: Any) -> None:
    """Carry out an action of a node."""
    match action:
        case Log() | ResetPeer():
            return
        case ResolveWait():
            resolve_wait(cluster.peers[address], action.token, action.message)
        case SendMessage():
            eventlet.spawn(_deliver, cluster, address, action)
        case _:
            eventlet.spawn(_send_store_request, cluster, address, cluster.nodes[address], action)


def call_once(cluster: Cluster, address: str, key: str, body: bytes = b"x") -> Any:
    """Run one call at a node.

    Returns:
        The answer's body, or the error's code.
    """
    call = Call("POST", "/fees", "/fees", {}, body, key, time.monotonic() + 5.0)

    ran = False

    def run() -> CallResponse:
        nonlocal ran
        reach_step(cluster, "run", address)
        ran = True
        cluster.runs[key] = cluster.runs.get(key, 0) + 1
        answer = CallResponse(200, "OK", [], f"ran {key}".encode())
        reach_step(cluster, "answer", address)
        return answer

    try:
        node, peers = cluster.nodes[address], cluster.peers[address]
        return run_once(node, peers, "fees", call, run).body
    except CallError as error:
        if ran and is_not_run(error.code):
            cluster.false_not_run.append(key)
        return error.code


def reach_step(cluster: Cluster, name: str, address: str) -> None:
    """Record a step, and inject the fault that is set for it."""
    cluster.steps.append(name)
    fault = cluster.faults.pop(name, None)
    if fault is not None:
        fault(address)


def resume(cluster: Cluster, address: str) -> None:
    """Resume a paused process: it carries out its deferred actions."""
    for deferred in cluster.paused_actions.pop(address, []):
        deferred()


def _tick(cluster: Cluster) -> None:
    while True:
        for address in list(cluster.nodes):
            if address not in cluster.paused_actions:
                submit(cluster, address, Tick())
        eventlet.sleep(TICK_S)


def _deliver(cluster: Cluster, sender: str, action: SendMessage) -> None:
    match action.message:
        case ClaimRequest(release=False):
            reach_step(cluster, "ask", action.address)
        case ClaimReply(verdict="granted"):
            reach_step(cluster, "grant", sender)
        case ClaimQuery():
            reach_step(cluster, "query", action.address)
    if sender in cluster.dead or frozenset((sender, action.address)) in cluster.partitions:
        return
    if sender in cluster.paused_actions:
        cluster.paused_actions[sender].append(lambda: _deliver(cluster, sender, action))
        return
    submit(cluster, action.address, MessageReceived(action.message))


def _send_store_request(cluster: Cluster, address: str, node: Node, action: Any) -> None:
    is_bucket_write = isinstance(action, StoreWrite) and action.purpose.endswith("bucket")
    if is_bucket_write:
        reach_step(cluster, "record", address)
    if address in cluster.paused_actions:
        cluster.paused_actions[address].append(
            lambda: _send_store_request(cluster, address, node, action)
        )
        return
    if address in cluster.dead or cluster.nodes[address] is not node:
        return
    if frozenset((address, "store")) in cluster.partitions:
        eventlet.sleep(STORE_TIMEOUT_S)
        event = StoreFailed(action.purpose)
    else:
        event = _apply_store_request(cluster, action)
    if is_bucket_write:
        reach_step(cluster, "recorded", address)
    if cluster.nodes[address] is node:
        submit(cluster, address, event)


def _apply_store_request(cluster: Cluster, action: Any) -> Any:
    if cluster.fake_store.faults.delay_s:
        eventlet.sleep(cluster.fake_store.faults.delay_s)
    try:
        return apply_request(cluster.fake_store, cluster.now(), action)
    except StoreOutcomeUnknownError:
        eventlet.sleep(STORE_TIMEOUT_S)
        return StoreFailed(action.purpose, unknown=True)
    except StoreError:
        return StoreFailed(action.purpose)
