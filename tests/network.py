"""A virtual network of nodes: one clock, one seed, delays, losses, cuts and one store."""

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

TICK_S = 0.1
POLL_S = 0.05
STORE_TIMEOUT_S = 1.0
SERVICES = ("lessons", "assessments", "media", "certs")
Cut = Callable[[Any, Any], bool]


@attrs.define
class Network:
    """Nodes by name, and what is wrong between them.

    Attributes:
        random: The seed of every delay and loss.
        delay_s: The greatest delay of a message or store request.
        loss: Share of messages that are lost.
        cuts: Each says whether messages from one record to another are lost.
        storeless: Names of the nodes that can't reach the store.
        silent: Senders and peer addresses between which the open connection carries nothing.
        frozen: Names of the nodes that run nothing at present.
        on_message: Called with each message as it is sent; returns whether it may pass.
        on_request: Called with each request to the store as it is sent.
    """

    random: Random
    delay_s: float = 0.01
    loss: float = 0.0
    store: FakeStore = attrs.field(factory=FakeStore)
    now: float = 1_000.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    names: dict[str, str] = attrs.field(factory=dict)
    lives: Counter[str] = attrs.field(factory=Counter)
    cuts: list[Cut] = attrs.field(factory=list)
    storeless: set[str] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    silent: set[tuple[str, str]] = attrs.field(factory=set)
    backlog: dict[str, list[Event]] = attrs.field(factory=dict)
    queue: list[Any] = attrs.field(factory=list)
    order: Any = attrs.field(factory=count)
    logs: list[tuple[float, str, Log]] = attrs.field(factory=list)
    observations: list[Any] = attrs.field(factory=list)
    acceptances: list[Acceptance] = attrs.field(factory=list)
    breaches: list[str] = attrs.field(factory=list)
    sent: Counter[str] = attrs.field(factory=Counter)
    received: Counter[str] = attrs.field(factory=Counter)
    kinds: Counter[str] = attrs.field(factory=Counter)
    on_message: Callable[[str, Any], bool] = lambda name, message: True
    on_request: Callable[[str, Any], None] = lambda name, action: None
    seeds: tuple[str, ...] = ()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run something later."""
        heapq.heappush(self.queue, (when, next(self.order), action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until a condition holds; returns the seconds, infinite if it never did."""
        started = self.now
        while self.now < started + limit_s:
            if condition():
                return self.now - started
            self.run(TICK_S / 2)
        return float("inf")

    def deliver(self, name: str, life: int, event: Event) -> None:
        """Hand an event to a node, unless that life of it is over."""
        if self.lives[name] != life or name not in self.nodes:
            return
        if name in self.frozen:
            self.backlog.setdefault(name, []).append(event)
            return
        node = self.nodes[name]
        version = node.configuration.version
        actions = step(node, self.now, event)
        if node.configuration.version != version:
            self.observations.append(observe(self.now, name, node.configuration))
            self.breaches += check_table(node.configuration)
        for action in actions:
            self._carry_out(name, life, action)

    def versions(self) -> set[int]:
        """Return the versions in force, frozen nodes left out."""
        names = self.nodes.keys() - self.frozen
        return {self.nodes[name].configuration.version for name in names}

    def _carry_out(self, name: str, life: int, action: Action) -> None:
        match action:
            case SendMessage():
                self._send(name, action)
            case Log():
                self.logs.append((self.now, name, action))
            case ResetPeer(address=address):
                self.silent.discard((name, address))
            case _:
                self.on_request(name, action)
                self.at(self.now + self._delay(), lambda: self._request(name, life, action, 0.0))

    def _send(self, name: str, action: SendMessage) -> None:
        data = encode_message(action.message)
        self.sent[name] += len(data)
        self.kinds[type(action.message).__name__] += len(data)
        target = next(
            (n for n in self.nodes.values() if n.own.peer_address == action.address), None
        )
        if target is None or not self.on_message(name, action.message):
            return
        if (name, action.address) in self.silent:
            return
        lost = self.random.random() < self.loss
        if lost or any(cut(self.nodes[name].own, target.own) for cut in self.cuts):
            return
        self.received[target.own.name] += len(data)
        event = MessageReceived(decode_message(data))
        receiver, life = target.own.name, self.lives[target.own.name]
        self.at(self.now + self._delay(), lambda: self.deliver(receiver, life, event))

    def _request(self, name: str, life: int, action: Any, waited: float) -> None:
        slow = self.store.faults.delay_s
        failed = StoreFailed(action.purpose)
        if name in self.storeless or slow > STORE_TIMEOUT_S:
            self.at(self.now + STORE_TIMEOUT_S, lambda: self.deliver(name, life, failed))
            return
        before = self.store.counts.copy()
        try:
            answer: Event = apply_request(self.store, self.now, action)
        except StoreOutcomeUnknownError:
            answer = StoreFailed(action.purpose, unknown=True)
        except StoreError:
            answer = failed
        if isinstance(action, StoreWatch) and isinstance(answer, StoreAnswered):
            entry = read_entry(self.store, action.key)
            if entry.revision <= action.after_revision and waited < action.wait_ms / 1000:
                self.store.second_counts["reads"] -= (self.store.counts - before).total()
                self.store.counts = before  # one watch, looked at again
                again = waited + POLL_S
                self.at(self.now + POLL_S, lambda: self._request(name, life, action, again))
                return
        self.at(self.now + slow + self._delay(), lambda: self.deliver(name, life, answer))

    def _delay(self) -> float:
        return self.random.uniform(0.0, self.delay_s)


def build_network(data_centres: int, daemons: int, seed: int, **faults: Any) -> Network:
    """Return a network whose nodes have just started."""
    network = Network(Random(seed), **faults)
    network.seeds = tuple(f"10.{place}.0.1:7000" for place in range(data_centres))
    for place in range(data_centres):
        for number in range(daemons):
            start_node(network, f"d{place}-{number + 1}")
    return network


def start_node(network: Network, name: str) -> None:
    """Start a node, or start it again with nothing kept."""
    data_centre, _, number = name.partition("-")
    high, low = divmod(int(number), 250)
    address = f"10.{data_centre[1:]}.{high}.{low}:7000"
    network.lives[name] += 1
    life = network.lives[name]
    own = MemberRecord(name, data_centre, address, int(network.now * 1000))
    node = Node(own, Random(network.random.random()), seeds=network.seeds)
    network.nodes[name] = node
    network.names[address] = name
    network.frozen.discard(name)
    network.backlog.pop(name, None)
    tick(network, name, life)


def tick(network: Network, name: str, life: int) -> None:
    """Run one tick of a node and plan the next."""
    if network.lives[name] != life or name not in network.nodes:
        return
    if name not in network.frozen:
        network.deliver(name, life, Tick())
    later = network.now + TICK_S * network.random.uniform(0.9, 1.1)
    network.at(later, lambda: tick(network, name, life))


def kill_node(network: Network, name: str) -> None:
    """End a node at once."""
    network.lives[name] += 1
    network.nodes.pop(name, None)


def freeze_node(network: Network, name: str) -> None:
    """Stop a node as SIGSTOP does; messages for it wait."""
    network.frozen.add(name)


def resume_node(network: Network, name: str) -> None:
    """Let a frozen node run on, with what has come in since."""
    network.frozen.discard(name)
    for event in network.backlog.pop(name, []):
        network.deliver(name, network.lives[name], event)


def publish_version(network: Network, version: int, broken: bool = False) -> Acceptance:
    """Have the store accept a version that changes one service."""
    names = SERVICES
    notes = {
        name: f"r{version}" if i == version % len(names) else "r0" for i, name in enumerate(names)
    }
    depends = {names[0]: ["absent.view"]} if broken else {}
    files = [build_service(name, depends.get(name, []), notes[name]) for name in names]
    head, blobs = build_head(version, files)
    for digest, blob in blobs.items():
        _write(network, BLOB_PREFIX + digest, blob)
    _write(network, HEAD_KEY, encode_head(head))
    acceptance = Acceptance(network.now, version, hash_manifest(head.services))
    network.acceptances.append(acceptance)
    return acceptance


def _write(network: Network, key: str, value: bytes) -> None:
    present = read_entry(network.store, key)
    if present.value == value:
        return
    faults, network.store.faults = network.store.faults, network.store.faults.__class__()
    apply_request(network.store, network.now, StoreWrite("publish", key, value, present.revision))
    network.store.faults = faults
