"""Deterministic simulation of daemons on a virtual clock, with network and store faults.

One seeded random generator decides all message delays and losses, so that a failing run can be
repeated.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Any

import attrs

from fakes.store import FakeStore, apply_request, read_entry
from magnoliasill.core.actions import Log, ResetPeer, SendMessage, StoreWatch, StoreWrite
from magnoliasill.core.engine import step
from magnoliasill.core.events import MessageReceived, StoreAnswered, StoreFailed, Tick
from magnoliasill.core.messages import MemberRecord, decode_message, encode_message
from magnoliasill.core.node import Node
from magnoliasill.errors import StoreError, StoreOutcomeUnknownError
from magnoliasill.spreading.invariants import Acceptance, check_table, observe
from magnoliasill.versions.manifest import BLOB_PREFIX, HEAD_KEY, encode_head, hash_manifest

from .builders import build_head, build_service

if TYPE_CHECKING:
    from magnoliasill.core.actions import Action
    from magnoliasill.core.events import Event

TICK_INTERVAL_S = 0.1
WATCH_POLL_INTERVAL_S = 0.05
STORE_TIMEOUT_S = 1.0
SERVICES = ("lessons", "assessments", "media", "certs")
PartitionRule = Callable[[Any, Any], bool]


@attrs.define
class Network:
    """A simulated network: its nodes, their shared store and the faults that are active.

    Attributes:
        random: Decides every delay and loss.
        delay_s: Maximum delay of a message, and of a store request in each direction.
        loss: Share of messages that are lost.
        store: The content of the store that all nodes share.
        now: The virtual clock, in seconds.
        nodes: The running nodes by name, frozen ones included.
        names_by_address: Node names by peer address.
        run_ids: Number of the current run of each node by name; events for an earlier run are
            dropped.
        partitions: Functions of the sender's and the receiver's member record; a message is lost if
            one of them returns true.
        nodes_without_store: Names of the nodes that can't reach the store.
        frozen: Names of the nodes that are suspended.
        stalled_connections: Pairs of a sender's name and a peer address whose open connection
            delivers nothing until the sender resets it.
        backlog: Events that wait for frozen nodes, by node name.
        scheduled_calls: Heap of calls to run: time, tie breaker and function.
        tie_breakers: Numbers the scheduled calls, so that calls due at the same time run in the
            order in which they were scheduled.
        logs: Time, node name and content of each log entry.
        observations: Each configuration that a node applied.
        acceptances: Each configuration that the store accepted.
        violations: Invariants that an applied configuration broke.
        bytes_sent: Bytes of messages by sender.
        bytes_received: Bytes of messages by receiver, without lost messages.
        bytes_by_kind: Bytes of messages by message class.
        on_message: Called with the sender's name and each message; the message is dropped if it
            returns false.
        on_request: Called with the node's name and each store request before it is sent.
        seeds: Peer addresses through which nodes join.
    """

    random: Random
    delay_s: float = 0.01
    loss: float = 0.0
    store: FakeStore = attrs.field(factory=FakeStore)
    now: float = 1_000.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    names_by_address: dict[str, str] = attrs.field(factory=dict)
    run_ids: Counter[str] = attrs.field(factory=Counter)
    partitions: list[PartitionRule] = attrs.field(factory=list)
    nodes_without_store: set[str] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    stalled_connections: set[tuple[str, str]] = attrs.field(factory=set)
    backlog: dict[str, list[Event]] = attrs.field(factory=dict)
    scheduled_calls: list[Any] = attrs.field(factory=list)
    tie_breakers: Any = attrs.field(factory=count)
    logs: list[tuple[float, str, Log]] = attrs.field(factory=list)
    observations: list[Any] = attrs.field(factory=list)
    acceptances: list[Acceptance] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    bytes_sent: Counter[str] = attrs.field(factory=Counter)
    bytes_received: Counter[str] = attrs.field(factory=Counter)
    bytes_by_kind: Counter[str] = attrs.field(factory=Counter)
    on_message: Callable[[str, Any], bool] = lambda name, message: True
    on_request: Callable[[str, Any], None] = lambda name, action: None
    seeds: tuple[str, ...] = ()

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule a function at a time of the virtual clock."""
        heapq.heappush(self.scheduled_calls, (when, next(self.tie_breakers), action))

    def run(self, seconds: float) -> None:
        """Advance the clock by some seconds and run the calls that are due."""
        until = self.now + seconds
        while self.scheduled_calls and self.scheduled_calls[0][0] <= until:
            self.now, _, action = heapq.heappop(self.scheduled_calls)
            action()
        self.now = until

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance the clock until a condition holds.

        Returns:
            The seconds that it took, infinite if the condition did not hold within the limit.
        """
        started = self.now
        while self.now < started + limit_s:
            if condition():
                return self.now - started
            self.run(TICK_INTERVAL_S / 2)
        return float("inf")

    def deliver(self, name: str, run_id: int, event: Event) -> None:
        """Pass an event to a node, unless the node was stopped or restarted since.

        A frozen node gets the event when it resumes.
        """
        if self.run_ids[name] != run_id or name not in self.nodes:
            return
        if name in self.frozen:
            self.backlog.setdefault(name, []).append(event)
            return
        node = self.nodes[name]
        version = node.configuration.version
        actions = step(node, self.now, event)
        if node.configuration.version != version:
            self.observations.append(observe(self.now, name, node.configuration))
            self.violations += check_table(node.configuration)
        for action in actions:
            self._execute_action(name, run_id, action)

    def versions(self) -> set[int]:
        """Return the configuration versions applied on the nodes that are not frozen."""
        names = self.nodes.keys() - self.frozen
        return {self.nodes[name].configuration.version for name in names}

    def _execute_action(self, name: str, run_id: int, action: Action) -> None:
        match action:
            case SendMessage():
                self._send(name, action)
            case Log():
                self.logs.append((self.now, name, action))
            case ResetPeer(address=address):
                self.stalled_connections.discard((name, address))
            case _:
                self.on_request(name, action)
                self.call_at(
                    self.now + self._delay(),
                    lambda: self._handle_store_request(name, run_id, action, 0.0),
                )

    def _send(self, name: str, action: SendMessage) -> None:
        data = encode_message(action.message)
        self.bytes_sent[name] += len(data)
        self.bytes_by_kind[type(action.message).__name__] += len(data)
        target = next(
            (n for n in self.nodes.values() if n.own.peer_address == action.address), None
        )
        if target is None or not self.on_message(name, action.message):
            return
        if (name, action.address) in self.stalled_connections:
            return
        lost = self.random.random() < self.loss
        if lost or any(is_cut(self.nodes[name].own, target.own) for is_cut in self.partitions):
            return
        self.bytes_received[target.own.name] += len(data)
        event = MessageReceived(decode_message(data))
        receiver, run_id = target.own.name, self.run_ids[target.own.name]
        self.call_at(self.now + self._delay(), lambda: self.deliver(receiver, run_id, event))

    def _handle_store_request(self, name: str, run_id: int, action: Any, waited_s: float) -> None:
        store_delay_s = self.store.faults.delay_s
        failed = StoreFailed(action.purpose)
        if name in self.nodes_without_store or store_delay_s > STORE_TIMEOUT_S:
            self.call_at(self.now + STORE_TIMEOUT_S, lambda: self.deliver(name, run_id, failed))
            return
        counts_before = self.store.counts.copy()
        try:
            answer: Event = apply_request(self.store, self.now, action)
        except StoreOutcomeUnknownError:
            answer = StoreFailed(action.purpose, unknown=True)
        except StoreError:
            answer = failed
        if isinstance(action, StoreWatch) and isinstance(answer, StoreAnswered):
            entry = read_entry(self.store, action.key)
            if entry.revision <= action.after_revision and waited_s < action.wait_ms / 1000:
                self.store.second_counts["reads"] -= (self.store.counts - counts_before).total()
                self.store.counts = counts_before  # all polls of one watch count as one call
                next_waited_s = waited_s + WATCH_POLL_INTERVAL_S
                self.call_at(
                    self.now + WATCH_POLL_INTERVAL_S,
                    lambda: self._handle_store_request(name, run_id, action, next_waited_s),
                )
                return
        self.call_at(
            self.now + store_delay_s + self._delay(), lambda: self.deliver(name, run_id, answer)
        )

    def _delay(self) -> float:
        return self.random.uniform(0.0, self.delay_s)


def build_network(data_centres: int, daemons: int, seed: int, **faults: Any) -> Network:
    """Return a network whose nodes have just started.

    Args:
        data_centres: Number of data centres.
        daemons: Number of nodes in each of them.
        seed: Seed of the random generator.
        **faults: Initial values of further attributes, such as `loss`.
    """
    network = Network(Random(seed), **faults)
    network.seeds = tuple(f"10.{index}.0.1:7000" for index in range(data_centres))
    for index in range(data_centres):
        for number in range(daemons):
            start_node(network, f"d{index}-{number + 1}")
    return network


def start_node(network: Network, name: str) -> None:
    """Start a node, or restart it with empty state.

    Args:
        network: The network.
        name: The name of its data centre and a number, such as `d0-2`.
    """
    data_centre, _, number = name.partition("-")
    third_octet, fourth_octet = divmod(int(number), 250)
    address = f"10.{data_centre[1:]}.{third_octet}.{fourth_octet}:7000"
    network.run_ids[name] += 1
    run_id = network.run_ids[name]
    own = MemberRecord(name, data_centre, address, int(network.now * 1000))
    node = Node(own, Random(network.random.random()), seeds=network.seeds)
    network.nodes[name] = node
    network.names_by_address[address] = name
    network.frozen.discard(name)
    network.backlog.pop(name, None)
    tick(network, name, run_id)


def tick(network: Network, name: str, run_id: int) -> None:
    """Run one tick of a node and schedule the next, until that run of the node ends."""
    if network.run_ids[name] != run_id or name not in network.nodes:
        return
    if name not in network.frozen:
        network.deliver(name, run_id, Tick())
    next_tick_at = network.now + TICK_INTERVAL_S * network.random.uniform(0.9, 1.1)
    network.call_at(next_tick_at, lambda: tick(network, name, run_id))


def kill_node(network: Network, name: str) -> None:
    """Stop a node as SIGKILL does; its state is lost."""
    network.run_ids[name] += 1
    network.nodes.pop(name, None)


def freeze_node(network: Network, name: str) -> None:
    """Suspend a node as SIGSTOP does; events for it are queued."""
    network.frozen.add(name)


def resume_node(network: Network, name: str) -> None:
    """Resume a frozen node as SIGCONT does, and deliver the queued events."""
    network.frozen.discard(name)
    for event in network.backlog.pop(name, []):
        network.deliver(name, network.run_ids[name], event)


def publish_version(network: Network, version: int, broken: bool = False) -> Acceptance:
    """Write a configuration version to the store that changes one service.

    Args:
        network: The network.
        version: The number of the version.
        broken: Whether a service depends on a route that does not exist.
    """
    service_names = SERVICES
    release_names = {
        name: f"r{version}" if i == version % len(service_names) else "r0"
        for i, name in enumerate(service_names)
    }
    dependencies = {service_names[0]: ["absent.view"]} if broken else {}
    service_files = [
        build_service(name, dependencies.get(name, []), release_names[name])
        for name in service_names
    ]
    head, blobs = build_head(version, service_files)
    for digest, blob in blobs.items():
        write_to_store(network, BLOB_PREFIX + digest, blob)
    write_to_store(network, HEAD_KEY, encode_head(head))
    acceptance = Acceptance(network.now, version, hash_manifest(head.services))
    network.acceptances.append(acceptance)
    return acceptance


def write_to_store(network: Network, key: str, value: bytes) -> None:
    """Write a value to the store regardless of its faults, unless it holds that value already."""
    entry = read_entry(network.store, key)
    if entry.value == value:
        return
    faults, network.store.faults = network.store.faults, network.store.faults.__class__()
    apply_request(network.store, network.now, StoreWrite("publish", key, value, entry.revision))
    network.store.faults = faults
