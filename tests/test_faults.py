"""The table of steps and faults: every fault at every step, over the core with a virtual clock."""

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
from magnoliasill.membership.servers import ServerIndex, find_group
from magnoliasill.publishing.publisher import Publish, publish, read_head
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
from .network import (
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
LIMIT_S = 6.0
FAULT_S = 8.0
MEMBERS_LIMIT_S = 30.0
LEAVING = "10.0.0.2:9000"
VICTIM = "d0-2"
Heal = Callable[[], None]


def find_relay(network: Network, data_centre: str) -> str:
    """Return the name of a relay of a data centre."""
    return next(
        name
        for name, node in sorted(network.nodes.items())
        if node.relay.slot is not None and node.own.data_centre == data_centre
    )


def on_first(network: Network, kind: type, matches: Callable[[Any], bool], act: Any) -> None:
    """Call `act` with the sender's name as soon as a matching message is sent."""

    def watch(name: str, message: Any) -> bool:
        if isinstance(message, kind) and matches(message):
            network.on_message = lambda name, message: True
            network.at(network.now, lambda: act(name))
        return True

    network.on_message = watch


def step_publish(network: Network, fault: Callable[[str], None]) -> None:
    """The fault comes as the platform accepts a version; it hits a relay."""
    publish_version(network, 2)
    fault(find_relay(network, "d0"))


def step_hand_over(network: Network, fault: Callable[[str], None]) -> None:
    """The fault comes as another daemon takes over a killed relay's slot; it hits that one."""
    killed = find_relay(network, "d0")
    claimed: list[str] = []

    def watch(name: str, request: Any) -> None:
        if request.purpose == CLAIM and not claimed:
            claimed.append(name)
            network.at(network.now, lambda: strike(name))

    def strike(claimer: str) -> None:
        publish_version(network, 2)
        fault(claimer)
        start_node(network, killed)

    network.on_request = watch
    kill_node(network, killed)
    network.run(LIMIT_S)


def step_fetch(network: Network, fault: Callable[[str], None]) -> None:
    """The fault comes as the first daemon asks for the version; it hits the asker."""
    on_first(network, ConfigurationRequest, lambda message: True, fault)
    publish_version(network, 2)


def step_spread(network: Network, fault: Callable[[str], None]) -> None:
    """The fault comes as the first daemon tells of the version; it hits that one."""
    on_first(network, Digest, lambda message: message.held == 2, fault)
    publish_version(network, 2)


def step_apply(network: Network, fault: Callable[[str], None]) -> None:
    """The fault comes as a daemon tells that the version is in force on it; it hits that one."""
    on_first(network, Digest, lambda message: message.version == 2, fault)
    publish_version(network, 2)


def step_join(network: Network, fault: Callable[[str], None]) -> None:
    """The fault comes as a restarted daemon asks what others hold; it hits that one."""
    publish_version(network, 2)
    network.run(LIMIT_S)
    kill_node(network, VICTIM)
    network.run(0.1)
    on_first(network, Digest, lambda message: message.joining, fault)
    start_node(network, VICTIM)


def step_leave(network: Network, fault: Callable[[str], None]) -> None:
    """The fault comes as a backend server says that it leaves; it hits its daemon."""
    network.deliver(VICTIM, network.lives[VICTIM], announce(False))
    publish_version(network, 2)
    network.run(0.15)
    fault(VICTIM)


def announce(serving: bool) -> ServerAnnounced:
    """Return what the backend server beside the victim says."""
    return ServerAnnounced("lessons", "r0", LEAVING, serving)


def fault_kill(network: Network, victim: str) -> Heal:
    """The daemon dies and comes back with nothing kept."""
    kill_node(network, victim)
    return lambda: start_node(network, victim)


def fault_freeze(network: Network, victim: str) -> Heal:
    """The daemon is stopped and runs on later."""
    freeze_node(network, victim)
    return lambda: resume_node(network, victim)


def fault_cut_daemons(network: Network, victim: str) -> Heal:
    """The daemon and one half of its data centre can't reach each other."""
    place, number = victim.split("-")
    others = {f"{place}-{(int(number) + offset) % 4 + 1}" for offset in (0, 1)} - {victim}
    return cut(network, lambda a, b: {a.name, b.name} & others and victim in (a.name, b.name))


def fault_cut_data_centres(network: Network, victim: str) -> Heal:
    """The data centres can't reach each other."""
    return cut(network, lambda a, b: a.data_centre != b.data_centre)


def fault_cut_platform(network: Network, victim: str) -> Heal:
    """The victim's data centre can't reach the platform."""
    network.storeless |= {n for n in network.nodes if n[:2] == victim[:2]}
    return network.storeless.clear


def fault_platform_down(network: Network, victim: str) -> Heal:
    """The store answers nobody."""
    network.store.faults.refuse = 503
    return lambda: setattr(network.store.faults, "refuse", 0)


def fault_platform_slow(network: Network, victim: str) -> Heal:
    """Each answer of the store comes late, within the timeout."""
    network.store.faults.delay_s = 0.5
    return lambda: setattr(network.store.faults, "delay_s", 0)


def fault_answer_lost(network: Network, victim: str) -> Heal:
    """The answers of the next writes are lost after their effect."""
    network.store.faults.lose_answers = 6
    return lambda: None


def fault_lease_lapsed(network: Network, victim: str) -> Heal:
    """Every lease ends while the victim is stopped."""
    freeze_node(network, victim)
    for lease in network.store.leases.values():
        lease.until = network.now
    expire_leases(network.store, network.now)
    return lambda: resume_node(network, victim)


def fault_operators_racing(network: Network, victim: str) -> Heal:
    """Two operators publish the same service from the same base; one of them gets a conflict."""
    store = build_local_store(network.store, lambda: network.now)
    faults, network.store.faults = network.store.faults, network.store.faults.__class__()
    head, _ = read_head(store)
    base = head.services if head is not None else {}
    moment = datetime.fromtimestamp(network.now, UTC)
    refused = 0
    for name in ("first", "second"):
        request = Publish(name, {"media": build_service("media", release=name)}, base)
        try:
            head = publish(store, request, moment, lambda attempt: None)
        except PublishError:
            refused += 1
            continue
        manifest = hash_manifest(head.services)
        network.acceptances.append(Acceptance(network.now, head.version, manifest))
    network.store.faults = faults
    if refused != 1:
        raise AssertionError(f"{refused} of two racing publishes were refused")
    return lambda: None


def fault_crossing(network: Network, victim: str) -> Heal:
    """Further versions come while messages are slow and overtake each other."""
    network.delay_s = 0.4
    newest = network.acceptances[-1].version
    for offset in (1, 2):
        network.at(
            network.now + 0.1 * offset, lambda v=newest + offset: publish_version(network, v)
        )
    return lambda: setattr(network, "delay_s", 0.01)


def fault_silent_connections(network: Network, victim: str) -> Heal:
    """Open connections from and to the victim carry nothing any more; new ones work."""
    address = network.nodes[victim].own.peer_address
    for name, node in network.nodes.items():
        network.silent |= {(name, address), (victim, node.own.peer_address)}
    return lambda: None


def fault_herd(network: Network, victim: str) -> Heal:
    """All daemons restart together."""
    for name in sorted(network.nodes):
        kill_node(network, name)
        start_node(network, name)
    return lambda: None


def cut(network: Network, rule: Callable[[Any, Any], bool]) -> Heal:
    """Lose the messages that a rule names, until healed."""
    network.cuts.append(rule)
    return network.cuts.clear


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
# Faults during which the victim runs nothing, and those in which no path may lead to the store.
STOPPING = (fault_kill, fault_freeze, fault_lease_lapsed)
PATHLESS = [(step, fault_platform_down) for step in (step_publish, step_hand_over, step_leave)]


class FaultTableTest(WithScenarios, testtools.TestCase):
    """Each fault at each step."""

    scenarios = multiply_scenarios(
        [(step.__name__.removeprefix("step_"), {"step": step}) for step in STEPS],
        [(fault.__name__.removeprefix("fault_"), {"fault": fault}) for fault in FAULTS],
    )

    def test_cell(self) -> None:
        network = build_network(2, 4, SEED)
        publish_version(network, 1)
        self.assertLess(network.run_until(lambda: network.versions() == {1}, LIMIT_S), LIMIT_S)
        repeat_announcements(network)
        network.run(FAULT_S)
        hit: list[str] = []
        heals: list[Heal] = []

        def strike(victim: str) -> None:
            hit.append(victim)
            heals.append(self.fault(network, victim))

        self.step(network, strike)
        network.run(FAULT_S)
        self.assertEqual(1, len(hit), "the step was not reached")
        stopped = set(hit) if self.fault in STOPPING else set()
        if self.step is step_leave:
            self.check_no_new_work(network, stopped)
        pathless = (self.step, self.fault) in PATHLESS
        steady = [] if pathless else network.nodes.keys() - stopped
        self.check(network, network.acceptances[-1], steady)
        heals[0]()
        healed = Acceptance(network.now, network.acceptances[-1].version, "")
        network.run(LIMIT_S)
        self.check(network, healed, network.nodes)
        self.assertLess(
            network.run_until(lambda: members_agree(network), MEMBERS_LIMIT_S), MEMBERS_LIMIT_S
        )
        self.assertEqual([], check_versions(network.observations))
        self.assertEqual([], check_accepted(network.observations, network.acceptances))
        self.assertEqual([], network.breaches)

    def check(self, network: Network, acceptance: Acceptance, daemons: Any) -> None:
        """Check that daemons have a version in force in time, if they don't hold it already."""
        version = acceptance.version
        seen = network.observations
        late = check_convergence(seen, acceptance, daemons, LIMIT_S)
        behind = [name for name in daemons if network.nodes[name].configuration.version < version]
        self.assertEqual([], [*late, *behind])

    def check_no_new_work(self, network: Network, stopped: set[str]) -> None:
        """Check that nobody who runs gives work to the leaving backend server."""
        views = {
            name: list_servers(node) for name, node in network.nodes.items() if name not in stopped
        }
        self.assertEqual([], check_leaving(views, LEAVING, FAULT_S))


def repeat_announcements(network: Network) -> None:
    """Have the victim's backend server announce itself until its daemon stops or it leaves."""
    node = network.nodes[VICTIM]
    if node.own.server_address and not node.own.serving:
        return
    network.deliver(VICTIM, network.lives[VICTIM], announce(True))
    life = network.lives[VICTIM]
    network.at(
        network.now + 0.5,
        lambda: repeat_announcements(network) if network.lives[VICTIM] == life else None,
    )


def list_servers(node: Node) -> list[MemberRecord]:
    """Return the backend servers of the victim's release to which a node gives new work."""
    group = find_group(ServerIndex(), node, "lessons", "r0", 0.0)
    return [*group.local, *group.remote]


def members_agree(network: Network) -> bool:
    """Return whether every node knows every other one as alive, under its present record."""

    def knows(node: Node, other: Node) -> bool:
        member = node.members.get(other.own.name)
        return member is not None and member.record == other.own

    nodes = list(network.nodes.values())
    return all(knows(a, b) for a in nodes for b in nodes if a is not b)
