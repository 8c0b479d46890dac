"""Measures what one daemon costs against the number of members and services.

The core is driven with virtual clocks for bytes and processor time, one node with all members of
the target size for the cost of each event, and a few real daemons for memory and the floor.
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
from magnoliasill.publishing.publisher import Publish, publish
from magnoliasill.versions.configuration import apply_staged, stage_head
from magnoliasill.versions.service_file import Limits, Release, Route, ServiceFile
from tests import network as virtual
from tests.builders import build_head

from .measures import percentile, publish_folder, read_cpu_ms, read_memory_mb

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

DATA_CENTRES = 7
SIZES = (28, 56, 112)
TARGET_MEMBERS = 1_200
TARGET_SERVICES = 96
CHANGES_PER_SECOND = 2_200 / 86_400
SETTLE_S = 60.0
WINDOW_S = 40.0
CHANGES = 8
ROUTES_PER_SERVICE = 8
REPEATS = 300
LINES = (
    "bytes_per_second",
    "bytes_per_second_worst",
    "bytes_per_change",
    "core_ms_per_second",
    "codec_ms",
)
REAL_SIZES = (7, 14, 28)
REAL_WINDOW_S = 10.0
EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "ikenna" / "services"


@attrs.define
class Cost:
    """Time spent in the core and in the codec of a virtual network, in seconds."""

    core: float = 0.0
    codec: float = 0.0


def main(seed: int = 1, full: bool = False) -> None:
    """Run every measurement and print one JSON object.

    Args:
        seed: Picks the cases.
        full: Measure twice the sizes of virtual networks, too.
    """
    sizes = (*SIZES, 2 * SIZES[-1]) if full else SIZES
    networks = [measure_network(size, seed) for size in sizes]
    result = {
        "seed": seed,
        "networks": networks,
        "slopes": {
            key: fit([n["members"] for n in networks], [n[key] for n in networks]) for key in LINES
        },
        "node": measure_node(seed),
        "publisher": [measure_publisher(services) for services in (24, 48, TARGET_SERVICES)],
        "real": [measure_real(size) for size in REAL_SIZES],
    }
    print(json.dumps(result))


def fit(xs: Sequence[float], ys: Sequence[float]) -> dict[str, float]:
    """Return offset and slope of the least squares line, and its value at the target size."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    offset = mean_y - slope * mean_x
    at_target = offset + slope * TARGET_MEMBERS
    return {"offset": round(offset, 4), "slope": round(slope, 6), "at_target": round(at_target, 3)}


def measure_network(members: int, seed: int) -> dict[str, Any]:
    """Run a virtual network idle, then through some changes.

    Args:
        members: The number of daemons in all data centres.
        seed: Of delays and choices.
    """
    show(f"virtual network of {members} daemons")
    cost = Cost()
    restore = _time_core(cost)
    try:
        network = virtual.build_network(DATA_CENTRES, members // DATA_CENTRES, seed)
        virtual.publish_version(network, 1)
        network.run(SETTLE_S)
        idle, idle_cost = _run_window(network, cost, WINDOW_S)
        before = sum(network.sent.values())
        for version in range(2, 2 + CHANGES):
            virtual.publish_version(network, version)
            network.run(WINDOW_S / CHANGES)
        changed = sum(network.sent.values()) - before
    finally:
        restore()
    count = len(network.nodes)
    steady = idle["sent_all"] * CHANGES * (WINDOW_S / CHANGES) / WINDOW_S
    return {
        "members": count,
        "bytes_per_second": round((idle["sent_all"] + idle["received_all"]) / count / WINDOW_S, 1),
        "bytes_per_second_worst": round(idle["worst"] / WINDOW_S, 1),
        "bytes_per_change": round((changed - steady) / count / CHANGES, 1),
        "core_ms_per_second": round(idle_cost.core * 1000 / count / WINDOW_S, 3),
        "codec_ms": round(idle_cost.codec * 1000 / count / WINDOW_S, 3),
        "store_reads_per_second": round(idle["reads"] / WINDOW_S, 2),
        "store_writes_per_second": round(idle["writes"] / WINDOW_S, 2),
        "versions": sorted(network.versions()),
    }


def measure_node(seed: int) -> dict[str, Any]:
    """Measure state and the cost of each event of one node at several sizes."""
    rows = []
    for members in (300, 600, TARGET_MEMBERS):
        show(f"one node with {members} members")
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
    """Return a node that knows a number of members, spread over the data centres."""
    node = Node(_build_record(0), Random(seed))
    merge_records(node, 2_000.0, [_build_record(number) for number in range(1, members)])
    return node


def build_large_service(number: int) -> ServiceFile:
    """Return one service of the target size."""
    routes = [
        Route(f"r{i}", "GET", f"/s{number}/r{i}/*", depends_on=[f"s{number}.r0"] if i else [])
        for i in range(ROUTES_PER_SERVICE)
    ]
    return ServiceFile(f"s{number}", "team", routes, [Release("r1")], "r1", None, Limits())


def time_events(node: Node, build: Callable[[], Any]) -> float:
    """Return the mean time of one event in the core and the codec, in microseconds."""
    now, spent = 2_000.0, 0.0
    for _ in range(REPEATS):
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
        spent += time.perf_counter() - started
    return round(spent * 1e6 / REPEATS, 1)


def measure_publisher(services: int) -> dict[str, Any]:
    """Measure one publish of one service into a configuration of some size."""
    fake_store = FakeStore()
    local = build_local_store(fake_store, lambda: 0.0)
    now = datetime.now(UTC)
    files = {f"s{i}": build_large_service(i) for i in range(services)}
    publish(local, Publish("all", files, None), now, lambda attempt: None)
    fake_store.counts.clear()
    changed = attrs.evolve(files["s0"], limits=Limits(slots=7))
    started = time.process_time()
    publish(local, Publish("one", {"s0": changed}, None), now, lambda attempt: None)
    spent = time.process_time() - started
    return {
        "services": services,
        "cpu_ms": round(spent * 1000, 2),
        "requests": dict(fake_store.counts),
    }


def measure_real(size: int) -> dict[str, Any]:
    """Run real daemons idle, and measure each one's processor time and memory."""
    show(f"{size} real daemons")
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(Path(folder))
        try:
            return _measure_fleet(fleet, size)
        finally:
            stop_fleet(fleet)


def _measure_fleet(fleet: Any, size: int) -> dict[str, Any]:
    publish_folder(fleet, EXAMPLE)
    seeds = ""
    for number in range(size):
        daemon = start_daemon(fleet, f"d{number}", f"dc{number % DATA_CENTRES}", seeds)
        seeds = seeds or f"{HOST}:{daemon.peer_port}"
    daemons = list(fleet.daemons.values())
    wait_until(lambda: all(read_version(d) for d in daemons), 90.0, "convergence")
    time.sleep(5.0)
    before = [read_cpu_ms(daemon) for daemon in daemons]
    time.sleep(REAL_WINDOW_S)
    cpu = [(read_cpu_ms(d) - b) / REAL_WINDOW_S for d, b in zip(daemons, before, strict=True)]
    memory = [read_memory_mb(daemon) for daemon in daemons]
    return {
        "daemons": size,
        "cpu_ms_per_second_p50": round(percentile(cpu, 0.5), 2),
        "cpu_ms_per_second_max": round(max(cpu), 2),
        "memory_mb_p50": round(percentile(memory, 0.5), 1),
        "memory_mb_max": round(max(memory), 1),
    }


def show(text: str) -> None:
    """Print one line of progress."""
    print(text, file=sys.stderr, flush=True)


def _run_window(network: Any, cost: Cost, seconds: float) -> tuple[dict[str, float], Cost]:
    sent, received = Counter(network.sent), Counter(network.received)
    counts = Counter(network.store.counts)
    core, codec = cost.core, cost.codec
    network.run(seconds)
    used = {
        name: network.sent[name] - sent[name] + network.received[name] - received[name]
        for name in network.nodes
    }
    asked = Counter(network.store.counts)
    asked.subtract(counts)
    reads = sum(asked[kind] for kind in ("read", "page", "watch", "renew"))
    totals = {
        "sent_all": sum(network.sent.values()) - sum(sent.values()),
        "received_all": sum(network.received.values()) - sum(received.values()),
        "worst": max(used.values()),
        "reads": reads,
        "writes": sum(asked.values()) - reads,
    }
    return totals, Cost(cost.core - core, cost.codec - codec)


def _time_core(cost: Cost) -> Callable[[], None]:
    originals = virtual.step, virtual.encode_message, virtual.decode_message

    def timed(function: Callable[..., Any], field: str) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            started = time.perf_counter()
            try:
                return function(*arguments)
            finally:
                setattr(cost, field, getattr(cost, field) + time.perf_counter() - started)

        return call

    virtual.step = timed(originals[0], "core")
    virtual.encode_message = timed(originals[1], "codec")
    virtual.decode_message = timed(originals[2], "codec")

    def restore() -> None:
        virtual.step, virtual.encode_message, virtual.decode_message = originals

    return restore


def _build_record(number: int) -> MemberRecord:
    place, index = number % DATA_CENTRES, number // DATA_CENTRES
    address = f"10.{place}.{index // 250}.{index % 250 + 1}"
    service = f"s{number % TARGET_SERVICES}"
    return MemberRecord(
        f"d{place}-{index}",
        f"d{place}",
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
