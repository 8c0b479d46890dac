"""Tests of configuration distribution: each fault at each step, on a simulated network.

The functions named `step_...` and `fault_...` make up the scenarios. The first lines of their
docstrings appear on the generated page of the fault matrix.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import testtools
from testscenarios import WithScenarios, multiply_scenarios

from fakes.store import build_local_store, expire_leases
from magnoliasill.core.events import ServerAnnounced
from magnoliasill.core.messages import ConfigurationRequest, Digest
from magnoliasill.errors import PublishError
from magnoliasill.membership.server_index import ServerIndex, find_group
from magnoliasill.publishing.publisher import ChangeSet, publish, read_head
from magnoliasill.spreading.invariants import (
    Acceptance,
    check_accepted,
    check_convergence,
    check_leaving,
    check_versions,
)
from magnoliasill.spreading.relays import CLAIM
from magnoliasill.versions.manifest import hash_manifest

from .builders import build_service
from .simulated_network import (
    Network,
    build_network,
    freeze_node,
    kill_node,
    publish_version,
    resume_node,
    start_node,
)

if TYPE_CHECKING:
    from magnoliasill.core.messages import MemberRecord
    from magnoliasill.core.node import Node

SEED = 4
CONVERGENCE_LIMIT_S = 6.0
FAULT_DURATION_S = 8.0
MEMBERS_LIMIT_S = 30.0
LEAVING_SERVER_ADDRESS = "10.0.0.2:9000"
SERVER_NODE = "d0-2"  # the daemon beside that backend server
Heal = Callable[[], None]


def find_relay(network: Network, data_centre: str) -> str:
    """Return the name of a node in a data centre that is a relay."""
    return next(
        name
        for name, node in sorted(network.nodes.items())
        if node.relay.slot is not None and node.own.data_centre == data_centre
    )


def call_on_first_message(
    network: Network, kind: type, matches: Callable[[Any], bool], callback: Any
) -> None:
    """Call `callback` once with the sender's name when a matching message is sent."""

    def intercept_message(name: str, message: Any) -> bool:
        if isinstance(message, kind) and matches(message):
            network.on_message = lambda name, message: True
            network.call_at(network.now, lambda: callback(name))
        return True

    network.on_message = intercept_message


def step_publish(network: Network, fault: Callable[[str], None]) -> None:
    """The fault affects a relay when the store accepts a version."""
    publish_version(network, 2)
    fault(find_relay(network, "d0"))


def step_hand_over(network: Network, fault: Callable[[str], None]) -> None:
    """The fault affects a daemon that claims the slot of a killed relay."""
    killed = find_relay(network, "d0")
    claimed: list[str] = []

    def intercept_request(name: str, request: Any) -> None:
        if request.purpose == CLAIM and not claimed:
            claimed.append(name)
            network.call_at(network.now, lambda: inject_fault(name))

    def inject_fault(claimer: str) -> None:
        publish_version(network, 2)
        fault(claimer)
        start_node(network, killed)

    network.on_request = intercept_request
    kill_node(network, killed)
    network.run(CONVERGENCE_LIMIT_S)


def step_fetch(network: Network, fault: Callable[[str], None]) -> None:
    """The fault affects the first daemon that requests the version from a peer."""
    call_on_first_message(network, ConfigurationRequest, lambda message: True, fault)
    publish_version(network, 2)


def step_spread(network: Network, fault: Callable[[str], None]) -> None:
    """The fault affects the first daemon that tells its peers that it holds the version."""
    call_on_first_message(network, Digest, lambda message: message.held == 2, fault)
    publish_version(network, 2)


def step_apply(network: Network, fault: Callable[[str], None]) -> None:
    """The fault affects the first daemon that tells its peers that it applied the version."""
    call_on_first_message(network, Digest, lambda message: message.version == 2, fault)
    publish_version(network, 2)


def step_join(network: Network, fault: Callable[[str], None]) -> None:
    """The fault affects a restarted daemon when it asks its peers which version they hold."""
    publish_version(network, 2)
    network.run(CONVERGENCE_LIMIT_S)
    kill_node(network, SERVER_NODE)
    network.run(0.1)
    call_on_first_message(network, Digest, lambda message: message.joining, fault)
    start_node(network, SERVER_NODE)


def step_leave(network: Network, fault: Callable[[str], None]) -> None:
    """The fault affects the daemon of a backend server that has announced that it leaves."""
    network.deliver(SERVER_NODE, network.run_ids[SERVER_NODE], announce(False))
    publish_version(network, 2)
    network.run(0.15)
    fault(SERVER_NODE)


def announce(serving: bool) -> ServerAnnounced:
    """Return the announcement of the backend server beside the daemon `SERVER_NODE`."""
    return ServerAnnounced("lessons", "r0", LEAVING_SERVER_ADDRESS, serving)


def fault_kill(network: Network, node_name: str) -> Heal:
    """The daemon is killed and restarts later with empty state."""
    kill_node(network, node_name)
    return lambda: start_node(network, node_name)


def fault_freeze(network: Network, node_name: str) -> Heal:
    """The daemon is suspended and resumes later."""
    freeze_node(network, node_name)
    return lambda: resume_node(network, node_name)


def fault_cut_daemons(network: Network, node_name: str) -> Heal:
    """A network partition separates the daemon from two others of its data centre."""
    data_centre, number = node_name.split("-")
    others = {f"{data_centre}-{(int(number) + offset) % 4 + 1}" for offset in (0, 1)} - {node_name}
    return partition_network(
        network, lambda a, b: {a.name, b.name} & others and node_name in (a.name, b.name)
    )


def fault_cut_data_centres(network: Network, node_name: str) -> Heal:
    """A network partition separates the data centres."""
    return partition_network(network, lambda a, b: a.data_centre != b.data_centre)


def fault_cut_platform(network: Network, node_name: str) -> Heal:
    """The daemons of the affected data centre can't reach the store."""
    network.nodes_without_store |= {n for n in network.nodes if n[:2] == node_name[:2]}
    return network.nodes_without_store.clear


def fault_platform_down(network: Network, node_name: str) -> Heal:
    """The store refuses all requests with status 503."""
    network.store.faults.refuse = 503
    return lambda: setattr(network.store.faults, "refuse", 0)


def fault_platform_slow(network: Network, node_name: str) -> Heal:
    """The store delays each response, by less than the timeout."""
    network.store.faults.delay_s = 0.5
    return lambda: setattr(network.store.faults, "delay_s", 0)


def fault_answer_lost(network: Network, node_name: str) -> Heal:
    """The responses to the next 6 writes are lost after the writes took effect."""
    network.store.faults.lose_answers = 6
    return lambda: None


def fault_lease_lapsed(network: Network, node_name: str) -> Heal:
    """All leases expire while the daemon is suspended."""
    freeze_node(network, node_name)
    for lease in network.store.leases.values():
        lease.expires_at = network.now
    expire_leases(network.store, network.now)
    return lambda: resume_node(network, node_name)


def fault_operators_racing(network: Network, node_name: str) -> Heal:
    """Two operators publish the same service from the same base; one of them gets a conflict."""
    store = build_local_store(network.store, lambda: network.now)
    faults, network.store.faults = network.store.faults, network.store.faults.__class__()
    head, _ = read_head(store)
    base = head.services if head is not None else {}
    published_at = datetime.fromtimestamp(network.now, UTC)
    refused_count = 0
    for name in ("first", "second"):
        request = ChangeSet(name, {"media": build_service("media", release=name)}, base)
        try:
            head = publish(store, request, published_at, lambda attempt: None)
        except PublishError:
            refused_count += 1
            continue
        manifest = hash_manifest(head.services)
        network.acceptances.append(Acceptance(network.now, head.version, manifest))
    network.store.faults = faults
    if refused_count != 1:
        raise AssertionError(f"{refused_count} of two racing publishes were refused")
    return lambda: None


def fault_crossing(network: Network, node_name: str) -> Heal:
    """Two more versions are published while messages are slow and arrive out of order."""
    network.delay_s = 0.4
    newest = network.acceptances[-1].version
    for offset in (1, 2):
        network.call_at(
            network.now + 0.1 * offset, lambda v=newest + offset: publish_version(network, v)
        )
    return lambda: setattr(network, "delay_s", 0.01)


def fault_silent_connections(network: Network, node_name: str) -> Heal:
    """The open connections from and to the daemon deliver nothing; new ones work."""
    address = network.nodes[node_name].own.peer_address
    for name, node in network.nodes.items():
        network.stalled_connections |= {(name, address), (node_name, node.own.peer_address)}
    return lambda: None


def fault_herd(network: Network, node_name: str) -> Heal:
    """All daemons restart at the same time."""
    for name in sorted(network.nodes):
        kill_node(network, name)
        start_node(network, name)
    return lambda: None


def partition_network(network: Network, rule: Callable[[Any, Any], bool]) -> Heal:
    """Lose the messages for which a rule returns true, until the partition is healed."""
    network.partitions.append(rule)
    return network.partitions.clear


STEPS = [
    step_publish,
    step_hand_over,
    step_fetch,
    step_apply,
    step_spread,
    step_join,
    step_leave,
]
FAULTS = [
    fault_kill,
    fault_freeze,
    fault_cut_daemons,
    fault_cut_data_centres,
    fault_cut_platform,
    fault_platform_down,
    fault_platform_slow,
    fault_answer_lost,
    fault_lease_lapsed,
    fault_operators_racing,
    fault_crossing,
    fault_silent_connections,
    fault_herd,
]
# Faults during which the affected daemon does not run.
STOPPING_FAULTS = (fault_kill, fault_freeze, fault_lease_lapsed)
# Cases in which nodes needn't converge while the fault lasts, since the store may become
# unreachable before any node has read the new version.
STORE_UNREACHABLE = [
    (step, fault_platform_down) for step in (step_publish, step_hand_over, step_leave)
]


class FaultTableTest(WithScenarios, testtools.TestCase):
    """Nodes converge during a fault where they can, and all of them after it ended.

    At no time may a node return to an older version or apply contents that the store did not
    accept.
    """

    scenarios = multiply_scenarios(
        [(step.__name__.removeprefix("step_"), {"step": step}) for step in STEPS],
        [(fault.__name__.removeprefix("fault_"), {"fault": fault}) for fault in FAULTS],
    )

    def test_cell(self) -> None:
        network = build_network(2, 4, SEED)
        publish_version(network, 1)
        self.assertLess(
            network.run_until(lambda: network.versions() == {1}, CONVERGENCE_LIMIT_S),
            CONVERGENCE_LIMIT_S,
        )
        repeat_announcements(network)
        network.run(FAULT_DURATION_S)
        affected: list[str] = []
        heals: list[Heal] = []

        def inject_fault(node_name: str) -> None:
            affected.append(node_name)
            heals.append(self.fault(network, node_name))

        self.step(network, inject_fault)
        network.run(FAULT_DURATION_S)
        self.assertEqual(1, len(affected), "the step was not reached")
        stopped = set(affected) if self.fault in STOPPING_FAULTS else set()
        if self.step is step_leave:
            self.check_no_new_requests(network, stopped)
        store_unreachable = (self.step, self.fault) in STORE_UNREACHABLE
        expected = [] if store_unreachable else network.nodes.keys() - stopped
        self.check_applied(network, network.acceptances[-1], expected)
        heals[0]()
        since_heal = Acceptance(network.now, network.acceptances[-1].version, "")
        network.run(CONVERGENCE_LIMIT_S)
        self.check_applied(network, since_heal, network.nodes)
        self.assertLess(
            network.run_until(lambda: members_agree(network), MEMBERS_LIMIT_S), MEMBERS_LIMIT_S
        )
        self.assertEqual([], check_versions(network.observations))
        self.assertEqual([], check_accepted(network.observations, network.acceptances))
        self.assertEqual([], network.violations)

    def check_applied(self, network: Network, acceptance: Acceptance, daemons: Any) -> None:
        """Check that nodes have applied a version, or a newer one, within the limit."""
        version = acceptance.version
        observations = network.observations
        late = check_convergence(observations, acceptance, daemons, CONVERGENCE_LIMIT_S)
        behind = [name for name in daemons if network.nodes[name].configuration.version < version]
        self.assertEqual([], [*late, *behind])

    def check_no_new_requests(self, network: Network, stopped: set[str]) -> None:
        """Check that no running daemon would send new requests to the leaving backend server."""
        views = {
            name: list_servers(node) for name, node in network.nodes.items() if name not in stopped
        }
        self.assertEqual([], check_leaving(views, LEAVING_SERVER_ADDRESS, FAULT_DURATION_S))


def repeat_announcements(network: Network) -> None:
    """Announce the backend server every 0.5 s until it leaves or its daemon stops."""
    node = network.nodes[SERVER_NODE]
    if node.own.server_address and not node.own.serving:
        return
    network.deliver(SERVER_NODE, network.run_ids[SERVER_NODE], announce(True))
    run_id = network.run_ids[SERVER_NODE]
    network.call_at(
        network.now + 0.5,
        lambda: repeat_announcements(network) if network.run_ids[SERVER_NODE] == run_id else None,
    )


def list_servers(node: Node) -> list[MemberRecord]:
    """Return the backend servers of release r0 to which a node would send new requests."""
    group = find_group(ServerIndex(), node, "lessons", "r0", 0.0)
    return [*group.local, *group.remote]


def members_agree(network: Network) -> bool:
    """Return whether each node has the current member record of each other node."""

    def has_current_record(node: Node, other: Node) -> bool:
        member = node.members.get(other.own.name)
        return member is not None and member.record == other.own

    nodes = list(network.nodes.values())
    return all(has_current_record(a, b) for a in nodes for b in nodes if a is not b)
