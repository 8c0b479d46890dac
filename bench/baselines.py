"""Measures alternative ways to distribute the configuration, as baselines."""

from __future__ import annotations

import tempfile
import threading
import time
from pathlib import Path
from random import Random
from typing import Any

from fakes.processes import HOST, read_json, start_fleet, stop_fleet
from magnoliasill.core.actions import StoreRead, StoreWatch, StoreWrite
from magnoliasill.core.messages import ConfigurationRequest, MemberRecord, encode_message
from magnoliasill.core.node import Node
from magnoliasill.errors import StoreError
from magnoliasill.spreading.distribution import receive_configuration, receive_request
from magnoliasill.spreading.relays import WATCH_TIMEOUT_MS
from magnoliasill.store import connect_store
from magnoliasill.versions.manifest import Head, hash_blob, hash_manifest
from magnoliasill.versions.service_file import Release, Route, ServiceFile, encode_service_file

SERVICES = 96
ROUTES_PER_SERVICE = 12
DAEMONS_PER_DATA_CENTRE = 170
CHANGES_PER_SECOND = 2_200 / 86_400
WATCH_WINDOW_S = 10.0
KEY = "configuration/baseline"


def measure_baselines(daemons: int, seed: int) -> dict[str, Any]:
    """Return the costs of the alternatives.

    Args:
        daemons: Number of daemons that watch the store in the first alternative.
        seed: Chooses the service that changes.
    """
    return {**_measure_watches(daemons), **_measure_full_state(Random(seed))}


def _measure_watches(daemons: int) -> dict[str, Any]:
    """Measure the store reads when each daemon watches the store and reads each change."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(Path(folder))
        stop = threading.Event()
        threads = [
            threading.Thread(target=_watch_store, args=(fleet.store_url, stop))
            for _ in range(daemons)
        ]
        try:
            for thread in threads:
                thread.start()
            time.sleep(WATCH_WINDOW_S / 2)
            connect_store(fleet.store_url, 5.0)(StoreWrite("write", KEY, b"x", 0))
            time.sleep(WATCH_WINDOW_S / 2)
            counts = read_json(f"{HOST}:{fleet.store_port}", "/control/counts")
        finally:
            stop.set()
            fleet.store.kill()
            for thread in threads:
                thread.join()
            stop_fleet(fleet)
    reads = sum(counts["counts"].get(kind, 0) for kind in ("read", "page", "watch"))
    return {
        "baseline_watch_reads_per_second_mean": round(reads / WATCH_WINDOW_S, 1),
        "baseline_watch_reads_per_second_max": counts["peak"]["reads"],
    }


def _watch_store(url: str, stop: threading.Event) -> None:
    store = connect_store(url, 5.0)
    revision = 0
    while not stop.is_set():
        try:
            entry = store(StoreWatch("watch", KEY, revision, WATCH_TIMEOUT_MS)).entries[0]
            if entry.revision > revision:
                store(StoreRead("read", keys=(KEY,)))
            revision = entry.revision
        except StoreError:
            return


def _measure_full_state(random: Random) -> dict[str, Any]:
    """Measure the bytes of a delta and of the full state, and of one sender per data centre."""
    node = Node(MemberRecord("a-1", "a", "10.0.0.1:7000", 1), Random(1))
    node.join.done = True
    files = {f"s{i}": build_service(f"s{i}", "r1") for i in range(SERVICES)}
    base = _offer_version(node, 1, files)
    changed = f"s{random.randrange(SERVICES)}"
    _offer_version(node, 2, {**files, changed: build_service(changed, "r2")})
    requester = MemberRecord("a-2", "a", "10.0.0.2:7000", 1)
    delta_request = ConfigurationRequest(requester, 1, hash_manifest(base.services))
    delta_bytes = _count_reply_bytes(node, delta_request)
    state_bytes = _count_reply_bytes(node, ConfigurationRequest(requester, 0))
    rate = CHANGES_PER_SECOND * (DAEMONS_PER_DATA_CENTRE - 1)
    return {
        "delta_bytes": delta_bytes,
        "baseline_state_bytes": state_bytes,
        "baseline_one_sender_bytes_per_second": round(rate * delta_bytes),
        "baseline_one_sender_state_bytes_per_second": round(rate * state_bytes),
    }


def _offer_version(node: Node, version: int, files: dict[str, ServiceFile]) -> Head:
    encoded = {name: encode_service_file(file) for name, file in files.items()}
    blobs = {hash_blob(blob): blob for blob in encoded.values()}
    head = Head(version, "p", 0.0, {name: hash_blob(blob) for name, blob in encoded.items()})
    receive_configuration(node, float(version), head, blobs)
    return head


def _count_reply_bytes(node: Node, request: ConfigurationRequest) -> int:
    return len(encode_message(receive_request(node, 3.0, request)[-1].message))


def build_service(name: str, release: str) -> ServiceFile:
    """Return a service file of typical size."""
    routes = [
        Route(f"route-{i}", "GET", f"/{name}/resources/{i}/*") for i in range(ROUTES_PER_SERVICE)
    ]
    return ServiceFile(name, "bench", routes, [Release(release)], release)
