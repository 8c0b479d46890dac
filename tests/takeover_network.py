"""Simulated network of daemons that runs a takeover with synthetic calls."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

import attrs

from fakes.store import read_entry
from magnoliasill.core.outcomes import Outcome, OutcomeKind
from magnoliasill.takeovers.call_counts import count_attempt
from magnoliasill.takeovers.records import decode_record, name_record_key
from magnoliasill.takeovers.releases import choose_release
from magnoliasill.versions.manifest import BLOB_PREFIX, HEAD_KEY, encode_head
from magnoliasill.versions.service_file import Release, Route, ServiceFile, Takeover

from . import simulated_network as virtual
from .builders import build_head
from .simulated_network import Network, build_network

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliasill.takeovers.plans import Phase
    from magnoliasill.takeovers.records import Record

CALLS_PER_TICK = 6  # per daemon, every TRAFFIC_INTERVAL_S
TRAFFIC_INTERVAL_S = 0.1
LENGTH_S = 60.0
SERVICE = "lessons"


@attrs.define
class TakeoverSimulation:
    """A simulated network with traffic, and a record of the calls to the new release.

    Attributes:
        network: The simulated network of daemons.
        is_bad: Returns whether the new release fails half of its calls at a given time.
        new_calls: Time and daemon of each call to the new release.
        version: The configuration version published last.
    """

    network: Network
    is_bad: Callable[[float], bool] = lambda now: False
    new_calls: list[tuple[float, str]] = attrs.field(factory=list)
    version: int = 0

    @property
    def record(self) -> Record | None:
        """The takeover's record in the store."""
        entry = read_entry(self.network.store, name_record_key(SERVICE))
        return decode_record(entry.value) if entry.revision else None

    def phases(self) -> set[Phase]:
        """Return the set of phases on the running nodes."""
        names = self.network.nodes.keys() - self.network.frozen
        active_takeovers = [self.network.nodes[name].takeovers.active for name in names]
        return {active[SERVICE].progress.phase for active in active_takeovers if SERVICE in active}

    def controllers(self) -> list[str]:
        """Return the names of the running nodes that act as controller."""
        return [
            name
            for name, node in self.network.nodes.items()
            if name not in self.network.frozen
            and SERVICE in node.takeovers.active
            and node.takeovers.active[SERVICE].control.holding
        ]

    def last_new_call(self) -> float:
        """Return the time of the last call to the new release."""
        return self.new_calls[-1][0] if self.new_calls else 0.0


def build_simulation(data_centres: int = 2, daemons: int = 4, seed: int = 1) -> TakeoverSimulation:
    """Build a network with one server of each release in each data centre, and start traffic."""
    network = build_network(data_centres, daemons, seed)
    for index in range(data_centres):
        for number, release in ((1, "r1"), (2, "r2")):
            node = network.nodes[f"d{index}-{number}"]
            node.own = attrs.evolve(
                node.own,
                service=SERVICE,
                release=release,
                server_address=f"10.{index}.0.{number}:80",
                serving=True,
            )
            node.server_announced_at = float("inf")
    simulation = TakeoverSimulation(network)
    _send_calls(simulation)
    return simulation


def publish_takeover(simulation: TakeoverSimulation, length_s: float = LENGTH_S) -> None:
    """Publish a takeover that starts now."""
    start = simulation.network.now
    times = (datetime.fromtimestamp(when, UTC) for when in (start, start + length_s))
    _publish(simulation, Takeover("r1", "r2", *times), "r1")


def publish_plain(simulation: TakeoverSimulation, serving: str) -> None:
    """Publish the service without a takeover."""
    _publish(simulation, None, serving)


def _publish(simulation: TakeoverSimulation, takeover: Takeover | None, serving: str) -> None:
    simulation.version += 1
    routes = [Route("view", "GET", "/lessons"), Route("enrol", "POST", "/enrolments")]
    releases = [Release("r1", 0), Release("r2", 0)]
    file = ServiceFile(SERVICE, "team", routes, releases, serving, takeover)
    head, blobs = build_head(simulation.version, [file])
    for digest, blob in blobs.items():
        virtual.write_to_store(simulation.network, BLOB_PREFIX + digest, blob)
    virtual.write_to_store(simulation.network, HEAD_KEY, encode_head(head))


def _send_calls(simulation: TakeoverSimulation) -> None:
    network = simulation.network
    for name, node in network.nodes.items():
        applied = node.configuration.applied
        if name in network.frozen or applied is None:
            continue
        for number in range(CALLS_PER_TICK):
            _send_call(
                simulation, name, applied.services[SERVICE], "enrol" if not number else "view"
            )
    network.call_at(network.now + TRAFFIC_INTERVAL_S, lambda: _send_calls(simulation))


def _send_call(simulation: TakeoverSimulation, name: str, service: ServiceFile, route: str) -> None:
    network, node = simulation.network, simulation.network.nodes[name]
    release = choose_release(node, service, route)
    failed = network.random.random() < 0.001
    if release == "r2":
        simulation.new_calls.append((network.now, name))
        failed = failed or (simulation.is_bad(network.now) and network.random.random() < 0.5)
    takeover = node.takeovers.active.get(SERVICE)
    if takeover is None:
        return
    number = 1 if release == "r1" else 2
    kind = OutcomeKind.FAILED if failed else OutcomeKind.SUCCEEDED
    address = f"10.{node.own.data_centre[1:]}.0.{number}:80"
    seconds = 0.01 * network.random.lognormvariate(0.0, 0.5)
    outcome = Outcome(SERVICE, route, release, address, kind, network.now, seconds)
    count_attempt(takeover.tally, outcome)
