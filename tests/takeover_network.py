"""A virtual network in which a takeover runs over synthetic calls."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

import attrs

from fakes.store import read_entry
from magnoliasill.core.outcomes import Outcome, OutcomeKind
from magnoliasill.takeovers.records import decode_record, name_record_key
from magnoliasill.takeovers.releases import choose_release
from magnoliasill.takeovers.tally import count_attempt
from magnoliasill.versions.manifest import BLOB_PREFIX, HEAD_KEY, encode_head
from magnoliasill.versions.service_file import Release, Route, ServiceFile, Takeover

from . import network as virtual
from .builders import build_head
from .network import Network, build_network

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliasill.takeovers.plans import Phase
    from magnoliasill.takeovers.records import Record

CALLS_PER_TICK = 6  # of each daemon, every TRAFFIC_S
TRAFFIC_S = 0.1
LENGTH_S = 60.0
SERVICE = "lessons"


@attrs.define
class Scene:
    """A network, and what its callers saw.

    Attributes:
        network: The nodes.
        is_bad: Says whether a call to the new release fails at a time.
        new_calls: When calls went to the new release, and through which daemon.
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
        """Return the phases that the running nodes know."""
        names = self.network.nodes.keys() - self.network.frozen
        tables = [self.network.nodes[name].takeovers.active for name in names]
        return {table[SERVICE].progress.phase for table in tables if SERVICE in table}

    def controllers(self) -> list[str]:
        """Return the names of the running nodes that hold control."""
        return [
            name
            for name, node in self.network.nodes.items()
            if name not in self.network.frozen
            and SERVICE in node.takeovers.active
            and node.takeovers.active[SERVICE].control.holding
        ]

    def last_new_call(self) -> float:
        """Return when the last call went to the new release."""
        return self.new_calls[-1][0] if self.new_calls else 0.0


def build_scene(data_centres: int = 2, daemons: int = 4, seed: int = 1) -> Scene:
    """Return a network with one server of each release in each data centre, and traffic."""
    network = build_network(data_centres, daemons, seed)
    for place in range(data_centres):
        for number, release in ((1, "r1"), (2, "r2")):
            node = network.nodes[f"d{place}-{number}"]
            node.own = attrs.evolve(
                node.own,
                service=SERVICE,
                release=release,
                server_address=f"10.{place}.0.{number}:80",
                serving=True,
            )
            node.server_announced_at = float("inf")
    scene = Scene(network)
    _send_calls(scene)
    return scene


def publish_takeover(scene: Scene, length_s: float = LENGTH_S) -> None:
    """Publish a takeover that starts now."""
    start = scene.network.now
    times = (datetime.fromtimestamp(when, UTC) for when in (start, start + length_s))
    _publish(scene, Takeover("r1", "r2", *times), "r1")


def publish_plain(scene: Scene, serving: str) -> None:
    """Publish the service without a takeover."""
    _publish(scene, None, serving)


def _publish(scene: Scene, takeover: Takeover | None, serving: str) -> None:
    scene.version += 1
    routes = [Route("view", "GET", "/lessons"), Route("enrol", "POST", "/enrolments")]
    releases = [Release("r1", 0), Release("r2", 0)]
    file = ServiceFile(SERVICE, "team", routes, releases, serving, takeover)
    head, blobs = build_head(scene.version, [file])
    for digest, blob in blobs.items():
        virtual._write(scene.network, BLOB_PREFIX + digest, blob)
    virtual._write(scene.network, HEAD_KEY, encode_head(head))


def _send_calls(scene: Scene) -> None:
    network = scene.network
    for name, node in network.nodes.items():
        applied = node.configuration.applied
        if name in network.frozen or applied is None:
            continue
        for number in range(CALLS_PER_TICK):
            _send_call(scene, name, applied.services[SERVICE], "enrol" if not number else "view")
    network.at(network.now + TRAFFIC_S, lambda: _send_calls(scene))


def _send_call(scene: Scene, name: str, service: ServiceFile, route: str) -> None:
    network, node = scene.network, scene.network.nodes[name]
    release = choose_release(node, service, route)
    failed = network.random.random() < 0.001
    if release == "r2":
        scene.new_calls.append((network.now, name))
        failed = failed or (scene.is_bad(network.now) and network.random.random() < 0.5)
    takeover = node.takeovers.active.get(SERVICE)
    if takeover is None:
        return
    number = 1 if release == "r1" else 2
    kind = OutcomeKind.FAILED if failed else OutcomeKind.SUCCEEDED
    address = f"10.{node.own.data_centre[1:]}.0.{number}:80"
    seconds = 0.01 * network.random.lognormvariate(0.0, 0.5)
    outcome = Outcome(SERVICE, route, release, address, kind, network.now, seconds)
    count_attempt(takeover.tally, outcome)
