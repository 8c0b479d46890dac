"""Measures what one node spends on control, against the number of members.

One node's core is driven alone, with a member table of the given size and with the messages that
it gets from the others at that size: a probe and an answer a second, a change of a member now and
then. Prints one JSON object on the last line.
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
TICK_S = 0.1
SECONDS = 60
FULL_SECONDS = 600
RECORD_CHANGES_PER_DAY = 110 * 4 + 3 * 2  # restarts: left, joined, server gone, server there
DAY_S = 86_400


def main(seed: int = 1, full: bool = False) -> None:
    """Measure and print one JSON object on the last line.

    Args:
        seed: Picks the order of everything.
        full: Run for longer.
    """
    seconds = FULL_SECONDS if full else SECONDS
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
    sent = received = 0
    started = time.process_time()
    spent_outside = 0.0
    for number in range(round(seconds / TICK_S)):
        now = 1_000.0 + number * TICK_S
        outside = time.process_time()
        messages = _list_messages(node, peer, random, now, size) if number % 10 == 0 else []
        spent_outside += time.process_time() - outside
        actions = step(node, now, Tick())
        for data in messages:
            received += len(data)
            actions += step(node, now, MessageReceived(decode_message(data)))
        for action in actions:
            if isinstance(action, SendMessage):
                sent += len(encode_message(action.message))
    spent = time.process_time() - started - spent_outside
    return {
        "core_percent": round(100 * spent / seconds, 3),
        "sent_bytes_per_second": round(sent / seconds),
        "received_bytes_per_second": round(received / seconds),
        "table_kilobytes": round(kilobytes, 1),
        "join_bytes": _count_join(size, seed),
    }


def _list_messages(node: Node, peer: Node, random: Random, now: float, size: int) -> list[bytes]:
    """Return what the node receives in one second, from peers with an equal member table."""
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
    place = f"dc{number % DATA_CENTRES}"
    host = f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250 + 1}"
    return MemberRecord(
        f"{place}-{number}",
        place,
        f"{host}:7000",
        1_700_000_000_000 + number,
        service=f"s{number % 96}",
        release="r1",
        server_address=f"{host}:8080",
        serving=True,
        started_at=1_700_000_000.0,
    )


def _count_join(size: int, seed: int) -> int:
    """Return the bytes of one new daemon's pages, requests included."""
    holder, joiner = _build_node(size, seed), Node(_build_record(size), Random(seed))
    count = 0
    for number in range(size):
        buckets = list_buckets(joiner) if joiner.members else []
        request = MemberSummary(joiner.own, buckets)
        (reply,) = step(holder, 1_000.0, MessageReceived(request))
        count += len(encode_message(request)) + len(encode_message(reply.message))
        step(joiner, 1_000.0 + number, MessageReceived(reply.message))
        if reply.message.complete:
            break
    return count


if __name__ == "__main__":
    fire.Fire(main)
