"""Measures how the cost of one daemon grows with the number of members and services.

Virtual networks give bytes and processor time, a single node with up to the target number of
members gives the cost per event, and a few real daemons give memory and the base load.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import fire

from fakes.processes import HOST, read_version, start_daemon, start_fleet, stop_fleet, wait_until
from fakes.store import FakeStore, build_local_store
from magnoliasill.core.engine import step
from magnoliasill.core.events import MessageReceived, Tick
from magnoliasill.core.messages import Digest, MemberRecord, Probe, decode_message, encode_message
from magnoliasill.core.node import Node
from magnoliasill.membership.membership import merge_records
from magnoliasill.publishing.publisher import ChangeSet, publish
from magnoliasill.versions.configuration import apply_staged, stage_head
from magnoliasill.versions.service_file import Limits, Release, Route, ServiceFile
from tests import simulated_network as virtual
from tests.builders import build_head

from .measures import percentile, publish_folder, read_cpu_ms, read_memory_mb

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

DATA_CENTRES = 7
NETWORK_SIZES = (28, 56, 112)
TARGET_MEMBERS = 1_200
TARGET_SERVICES = 96
CHANGES_PER_SECOND = 2_200 / 86_400
SETTLE_S = 60.0
WINDOW_S = 40.0
CHANGES = 8
ROUTES_PER_SERVICE = 8
REPETITIONS = 300
FITTED_FIGURES = (
    "bytes_per_second",
    "bytes_per_second_worst",
    "bytes_per_change",
    "core_ms_per_second",
    "codec_ms",
)
DAEMON_COUNTS = (7, 14, 28)
DAEMON_WINDOW_S = 10.0
EXAMPLE_SERVICES = Path(__file__).resolve().parent.parent / "examples" / "ikenna" / "services"


@attrs.define
class TimeSpent:
    """Seconds that the nodes of a virtual network spend in the core and in the codec."""

    core: float = 0.0
    codec: float = 0.0


def main(seed: int = 1, full: bool = False) -> None:
    """Run every measurement and print one JSON object.

    Args:
        seed: Picks the cases.
        full: Measure twice the sizes of virtual networks, too.
    """
    sizes = (*NETWORK_SIZES, 2 * NETWORK_SIZES[-1]) if full else NETWORK_SIZES
    networks = [measure_network(size, seed) for size in sizes]
    result = {
        "seed": seed,
        "networks": networks,
        "slopes": {
            key: fit_line([n["members"] for n in networks], [n[key] for n in networks])
            for key in FITTED_FIGURES
        },
        "node": measure_node(seed),
        "publisher": [measure_publisher(services) for services in (24, 48, TARGET_SERVICES)],
        "real": [measure_daemons(size) for size in DAEMON_COUNTS],
    }
    print(json.dumps(result))


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> dict[str, float]:
    """Return offset, slope and value at `TARGET_MEMBERS` of the least squares line."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    offset = mean_y - slope * mean_x
    at_target = offset + slope * TARGET_MEMBERS
    return {"offset": round(offset, 4), "slope": round(slope, 6), "at_target": round(at_target, 3)}


def measure_network(members: int, seed: int) -> dict[str, Any]:
    """Measure a virtual network while it is idle and during configuration changes.

    Args:
        members: Number of daemons in all data centres together.
        seed: Seed of delays and random choices.
    """
    print_progress(f"virtual network of {members} daemons")
    time_spent = TimeSpent()
    restore = _time_core(time_spent)
    try:
        network = virtual.build_network(DATA_CENTRES, members // DATA_CENTRES, seed)
        virtual.publish_version(network, 1)
        network.run(SETTLE_S)
        idle, idle_time = _run_window(network, time_spent, WINDOW_S)
        before = sum(network.bytes_sent.values())
        for version in range(2, 2 + CHANGES):
            virtual.publish_version(network, version)
            network.run(WINDOW_S / CHANGES)
        bytes_with_changes = sum(network.bytes_sent.values()) - before
    finally:
        restore()
    count = len(network.nodes)
    idle_bytes = idle["sent_all"] * CHANGES * (WINDOW_S / CHANGES) / WINDOW_S
    return {
        "members": count,
        "bytes_per_second": round((idle["sent_all"] + idle["received_all"]) / count / WINDOW_S, 1),
        "bytes_per_second_worst": round(idle["worst"] / WINDOW_S, 1),
        "bytes_per_change": round((bytes_with_changes - idle_bytes) / count / CHANGES, 1),
        "core_ms_per_second": round(idle_time.core * 1000 / count / WINDOW_S, 3),
        "codec_ms": round(idle_time.codec * 1000 / count / WINDOW_S, 3),
        "store_reads_per_second": round(idle["reads"] / WINDOW_S, 2),
        "store_writes_per_second": round(idle["writes"] / WINDOW_S, 2),
        "versions": sorted(network.versions()),
    }


def measure_node(seed: int) -> dict[str, Any]:
    """Measure the memory of one node's state and its time per event at several sizes."""
    rows = []
    for members in (300, 600, TARGET_MEMBERS):
        print_progress(f"one node with {members} members")
        tracemalloc.start()
        node = build_node(members, seed)
        member_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append(
            {
                "members": members,
                "state_bytes_per_member": round(member_bytes / members),
                "tick_us": time_events(node, Tick),
                "probe_us": time_events(node, lambda node=node: _build_probe(node)),
            }
        )
    tracemalloc.start()
    services = [build_large_service(i) for i in range(TARGET_SERVICES)]
    head, blobs = build_head(1, services)
    node = build_node(1, seed)
    node.configuration.blobs.update(blobs)
    stage_head(node.configuration, 0.0, head)
    apply_staged(node.configuration, 0.0)
    config_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    size = sum(len(blob) for blob in blobs.values())
    return {"events": rows, "configuration_state_bytes": config_bytes, "blob_bytes": size}


def build_node(members: int, seed: int) -> Node:
    """Return a node with this number of members, spread over the data centres."""
    node = Node(_build_record(0), Random(seed))
    merge_records(node, 2_000.0, [_build_record(number) for number in range(1, members)])
    return node


def build_large_service(number: int) -> ServiceFile:
    """Return a service file of the target size."""
    routes = [
        Route(f"r{i}", "GET", f"/s{number}/r{i}/*", depends_on=[f"s{number}.r0"] if i else [])
        for i in range(ROUTES_PER_SERVICE)
    ]
    return ServiceFile(f"s{number}", "team", routes, [Release("r1")], "r1", None, Limits())


def time_events(node: Node, build: Callable[[], Any]) -> float:
    """Return the mean microseconds that one event takes in the core and the codec."""
    now, spent_s = 2_000.0, 0.0
    for _ in range(REPETITIONS):
        now += 0.1
        event = build()
        data = encode_message(event.message) if isinstance(event, MessageReceived) else b""
        started = time.perf_counter()
        if data:
            event = MessageReceived(decode_message(data))
        for action in step(node, now, event):
            message = getattr(action, "message", None)
            if message is not None:
                encode_message(message)
        spent_s += time.perf_counter() - started
    return round(spent_s * 1e6 / REPETITIONS, 1)


def measure_publisher(services: int) -> dict[str, Any]:
    """Measure the publish of one service into a configuration with several services."""
    fake_store = FakeStore()
    store = build_local_store(fake_store, lambda: 0.0)
    now = datetime.now(UTC)
    files = {f"s{i}": build_large_service(i) for i in range(services)}
    publish(store, ChangeSet("all", files, None), now, lambda attempt: None)
    fake_store.counts.clear()
    changed_service = attrs.evolve(files["s0"], limits=Limits(slots=7))
    started = time.process_time()
    publish(store, ChangeSet("one", {"s0": changed_service}, None), now, lambda attempt: None)
    spent_s = time.process_time() - started
    return {
        "services": services,
        "cpu_ms": round(spent_s * 1000, 2),
        "requests": dict(fake_store.counts),
    }


def measure_daemons(size: int) -> dict[str, Any]:
    """Measure processor time and memory of idle daemon processes."""
    print_progress(f"{size} daemon processes")
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(Path(folder))
        try:
            return _measure_fleet(fleet, size)
        finally:
            stop_fleet(fleet)


def _measure_fleet(fleet: Any, size: int) -> dict[str, Any]:
    publish_folder(fleet, EXAMPLE_SERVICES)
    seeds = ""
    for number in range(size):
        daemon = start_daemon(fleet, f"d{number}", f"dc{number % DATA_CENTRES}", seeds)
        seeds = seeds or f"{HOST}:{daemon.peer_port}"
    daemons = list(fleet.daemons.values())
    wait_until(lambda: all(read_version(d) for d in daemons), 90.0, "convergence")
    time.sleep(5.0)
    before = [read_cpu_ms(daemon) for daemon in daemons]
    time.sleep(DAEMON_WINDOW_S)
    cpu = [(read_cpu_ms(d) - b) / DAEMON_WINDOW_S for d, b in zip(daemons, before, strict=True)]
    memory = [read_memory_mb(daemon) for daemon in daemons]
    return {
        "daemons": size,
        "cpu_ms_per_second_p50": round(percentile(cpu, 0.5), 2),
        "cpu_ms_per_second_max": round(max(cpu), 2),
        "memory_mb_p50": round(percentile(memory, 0.5), 1),
        "memory_mb_max": round(max(memory), 1),
    }


def print_progress(text: str) -> None:
    """Print one line of progress."""
    print(text, file=sys.stderr, flush=True)


def _run_window(
    network: Any, time_spent: TimeSpent, seconds: float
) -> tuple[dict[str, float], TimeSpent]:
    sent, received = Counter(network.bytes_sent), Counter(network.bytes_received)
    counts_before = Counter(network.store.counts)
    core, codec = time_spent.core, time_spent.codec
    network.run(seconds)
    bytes_by_node = {
        name: network.bytes_sent[name] - sent[name] + network.bytes_received[name] - received[name]
        for name in network.nodes
    }
    requests = Counter(network.store.counts)
    requests.subtract(counts_before)
    reads = sum(requests[kind] for kind in ("read", "page", "watch", "renew"))
    totals = {
        "sent_all": sum(network.bytes_sent.values()) - sum(sent.values()),
        "received_all": sum(network.bytes_received.values()) - sum(received.values()),
        "worst": max(bytes_by_node.values()),
        "reads": reads,
        "writes": sum(requests.values()) - reads,
    }
    return totals, TimeSpent(time_spent.core - core, time_spent.codec - codec)


def _time_core(time_spent: TimeSpent) -> Callable[[], None]:
    originals = virtual.step, virtual.encode_message, virtual.decode_message

    def timed(function: Callable[..., Any], field: str) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            started = time.perf_counter()
            try:
                return function(*arguments)
            finally:
                setattr(
                    time_spent, field, getattr(time_spent, field) + time.perf_counter() - started
                )

        return call

    virtual.step = timed(originals[0], "core")
    virtual.encode_message = timed(originals[1], "codec")
    virtual.decode_message = timed(originals[2], "codec")

    def restore() -> None:
        virtual.step, virtual.encode_message, virtual.decode_message = originals

    return restore


def _build_record(number: int) -> MemberRecord:
    data_centre, index = number % DATA_CENTRES, number // DATA_CENTRES
    address = f"10.{data_centre}.{index // 250}.{index % 250 + 1}"
    service = f"s{number % TARGET_SERVICES}"
    return MemberRecord(
        f"d{data_centre}-{index}",
        f"d{data_centre}",
        f"{address}:7000",
        1_000_000 + number,
        "alive",
        service,
        "r1",
        f"{address}:9000",
        True,
        1_000.0,
        7002,
    )


def _build_probe(node: Node) -> MessageReceived:
    name = node.random.choice(sorted(node.members))
    digest = Digest(node.members[name].record, 0)
    return MessageReceived(Probe(digest, node.random.randrange(1_000_000)))


if __name__ == "__main__":
    fire.Fire(main)
