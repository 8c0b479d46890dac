"""Measures what the membership protocol costs one node as the number of members grows.

Drives the core of a single node, without a network. Its member table has the given size, and it
receives the messages that the other nodes send at that size: one probe and one acknowledgement
per second, and occasionally a changed member record. Prints one JSON object on the last line.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from random import Random
from typing import Any

import fire

from magnoliasill.core.actions import SendMessage
from magnoliasill.core.engine import step
from magnoliasill.core.events import MessageReceived, Tick
from magnoliasill.core.messages import (
    MemberNews,
    MemberRecord,
    MemberSummary,
    Probe,
    ProbeAck,
    decode_message,
    encode_message,
)
from magnoliasill.core.node import Node
from magnoliasill.membership.membership import set_record
from magnoliasill.membership.syncing import list_buckets
from magnoliasill.spreading.distribution import build_digest

SIZES = (150, 300, 600, 1_200)
DATA_CENTRES = 7
TICK_INTERVAL_S = 0.1
SIMULATED_S = 60
FULL_SIMULATED_S = 600
RECORD_CHANGES_PER_DAY = 110 * 4 + 3 * 2  # a restart: left, joined, server stopped, server started
DAY_S = 86_400


def main(seed: int = 1, full: bool = False) -> None:
    """Measure and print one JSON object on the last line.

    Args:
        seed: Picks the order of everything.
        full: Run for longer.
    """
    seconds = FULL_SIMULATED_S if full else SIMULATED_S
    by_size = {size: _measure(size, seconds, seed) for size in SIZES}
    for size, result in by_size.items():
        print(size, result, file=sys.stderr)
    small, large = by_size[SIZES[0]], by_size[SIZES[-1]]
    members = SIZES[-1] - SIZES[0]
    slopes = {
        f"{name}_per_member": round((large[name] - small[name]) / members, 5) for name in large
    }
    print(json.dumps({"members": SIZES[-1], **large, **slopes, "by_size": by_size}))


def _measure(size: int, seconds: int, seed: int) -> dict[str, float]:
    tracemalloc.start()
    node = _build_node(size, seed)
    kilobytes = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    peer = _build_node(size, seed + 1)
    random = Random(seed)
    bytes_sent = bytes_received = 0
    started = time.process_time()
    message_building_s = 0.0
    for number in range(round(seconds / TICK_INTERVAL_S)):
        now = 1_000.0 + number * TICK_INTERVAL_S
        building_started = time.process_time()
        messages = _build_messages(node, peer, random, now, size) if number % 10 == 0 else []
        message_building_s += time.process_time() - building_started
        actions = step(node, now, Tick())
        for data in messages:
            bytes_received += len(data)
            actions += step(node, now, MessageReceived(decode_message(data)))
        for action in actions:
            if isinstance(action, SendMessage):
                bytes_sent += len(encode_message(action.message))
    cpu_s = time.process_time() - started - message_building_s
    return {
        "core_percent": round(100 * cpu_s / seconds, 3),
        "sent_bytes_per_second": round(bytes_sent / seconds),
        "received_bytes_per_second": round(bytes_received / seconds),
        "table_kilobytes": round(kilobytes, 1),
        "join_bytes": _count_join_bytes(size, seed),
    }


def _build_messages(node: Node, peer: Node, random: Random, now: float, size: int) -> list[bytes]:
    """Return the messages of one second to the node, from a peer with an equal member table."""
    peer.members, peer.buckets = node.members, node.buckets
    peer.data_centres_heard_at = dict(node.data_centres_heard_at)
    messages: list[Any] = [Probe(build_digest(peer, now), 1 + random.randrange(1_000))]
    messages += [ProbeAck(messages[0].digest, sequence) for sequence in node.probes.pending]
    if random.random() < RECORD_CHANGES_PER_DAY / DAY_S * 5:
        name = random.choice(sorted(node.members))
        record = node.members[name].record
        changed = MemberRecord(
            name, record.data_centre, record.peer_address, record.incarnation + 1
        )
        messages.append(MemberNews(peer.own, [changed]))
    return [encode_message(message) for message in messages]


def _build_node(size: int, seed: int) -> Node:
    node = Node(_build_record(0), Random(seed))
    node.join.done = True
    for number in range(1, size):
        set_record(node, 1_000.0, _build_record(number), spread=False)
    return node


def _build_record(number: int) -> MemberRecord:
    data_centre = f"dc{number % DATA_CENTRES}"
    host = f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250 + 1}"
    return MemberRecord(
        f"{data_centre}-{number}",
        data_centre,
        f"{host}:7000",
        1_700_000_000_000 + number,
        service=f"s{number % 96}",
        release="r1",
        server_address=f"{host}:8080",
        serving=True,
        started_at=1_700_000_000.0,
    )


def _count_join_bytes(size: int, seed: int) -> int:
    """Return the bytes that a joining daemon exchanges for the member pages and their requests."""
    complete_node, joining_node = _build_node(size, seed), Node(_build_record(size), Random(seed))
    count = 0
    for number in range(size):
        buckets = list_buckets(joining_node) if joining_node.members else []
        request = MemberSummary(joining_node.own, buckets)
        (reply,) = step(complete_node, 1_000.0, MessageReceived(request))
        count += len(encode_message(request)) + len(encode_message(reply.message))
        step(joining_node, 1_000.0 + number, MessageReceived(reply.message))
        if reply.message.complete:
            break
    return count


if __name__ == "__main__":
    fire.Fire(main)
