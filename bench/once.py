"""Compares ways to run a request at most once: claims a second, added time, store writes."""

from __future__ import annotations

import json
import random
import sys
import time
from collections import Counter
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any

import attrs
import fire

from fakes.store import FakeStore, apply_request
from magnoliasill.claims.claim_holder import WRITE_INTERVAL_S, count_records
from magnoliasill.claims.claim_ranges import (
    list_candidates,
    receive_claim_answer,
    receive_claim_request,
    tick_claims,
)
from magnoliasill.claims.claim_records import (
    RANGES,
    RECORD_BYTES,
    digest_key,
    digest_request,
    find_range,
)
from magnoliasill.core.actions import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Log,
    SendMessage,
    StoreDelete,
    StoreWrite,
)
from magnoliasill.core.events import MessageReceived, StoreAnswered, Tick
from magnoliasill.core.messages import ClaimReply, ClaimRequest, MemberRecord, encode_message
from magnoliasill.core.node import Member, Node

if TYPE_CHECKING:
    from magnoliasill.core.actions import Action
    from magnoliasill.core.events import Event

CALLS_PER_SECOND = 120_000
SHARES = (0.005, 0.01, 0.02)
WRITE_BUDGET_PER_SECOND = 300
STORE_S = (0.002, 0.008)
MESSAGE_S = (0.0003, 0.0025)
TICK_S = 0.1
WRITES = (StoreWrite, StoreDelete, LeaseGrant, LeaseKeepAlive, LeaseRevoke)


@attrs.define
class Simulation:
    """Holders in virtual time, with the store and the messages between them.

    Attributes:
        random: The generator of every delay.
        holders: The nodes that hold ranges, by peer address.
        fake_store: The store.
        events: What happens when: time, order, address, event.
        writes: Store writes by second.
        asked: When each claim was asked for.
        waits: Seconds from asking to the grant.
        verdicts: Replies by verdict.
        cpu_s: Processor time in the engine.
        message_bytes: Bytes of requests and replies.
        order: Breaks ties between events.
    """

    random: random.Random
    holders: dict[str, Node] = attrs.field(factory=dict)
    fake_store: FakeStore = attrs.field(factory=FakeStore)
    events: list[Any] = attrs.field(factory=list)
    writes: Counter[int] = attrs.field(factory=Counter)
    asked: dict[bytes, float] = attrs.field(factory=dict)
    waits: list[float] = attrs.field(factory=list)
    verdicts: Counter[str] = attrs.field(factory=Counter)
    cpu_s: float = 0.0
    message_bytes: int = 0
    order: int = 0


def run_holders(seed: int, claims_per_second: float, seconds: float) -> dict[str, Any]:
    """Drive the holders of all ranges with claims that arrive at random times.

    Args:
        seed: Picks arrivals and delays.
        claims_per_second: The fleet's rate.
        seconds: Virtual time.
    """
    simulation = _build(seed)
    at = 1.0
    while at < seconds:
        at += simulation.random.expovariate(claims_per_second)
        _ask(simulation, at)
    warm = 3.0
    while simulation.events:
        now, _, address, event = heappop(simulation.events)
        if now < seconds + 2.0:
            _run(simulation, now, address, event)
    settled = [count for second, count in simulation.writes.items() if warm <= second < seconds - 1]
    asked = len(simulation.asked)
    waits = sorted(simulation.waits)
    busiest = max(simulation.holders.values(), key=count_records)
    return {
        "claims_per_second": round(asked / (seconds - 1.0), 1),
        "granted": simulation.verdicts["granted"],
        "refused": asked - simulation.verdicts["granted"],
        "added_ms_p50": round(waits[len(waits) // 2] * 1000, 2),
        "added_ms_p99": round(waits[int(len(waits) * 0.99)] * 1000, 2),
        "store_writes_per_second": round(sum(settled) / len(settled), 1),
        "store_writes_per_second_max": max(settled),
        "engine_us_per_claim": round(simulation.cpu_s / asked * 1e6, 1),
        "message_bytes_per_claim": round(simulation.message_bytes / asked),
        "records_of_busiest": count_records(busiest),
    }


def compare_ways(claims_per_second: float, held: dict[str, Any]) -> dict[str, Any]:
    """Return what each way costs the store at a rate of claims.

    Args:
        claims_per_second: The fleet's rate.
        held: What `run_holders` measured at this rate.
    """
    one_each = claims_per_second
    return {
        "key_each": {
            "store_writes_per_second": one_each,
            "fits": one_each <= WRITE_BUDGET_PER_SECOND,
        },
        "grouped": {
            "store_writes_per_second": held["store_writes_per_second"],
            "fits": held["store_writes_per_second_max"] <= WRITE_BUDGET_PER_SECOND,
        },
        "aged_keys": {"store_writes_per_second": RANGES, "fits": True},
    }


def count_aged_key_losses(seed: int, takeovers: int = 1_000) -> dict[str, Any]:
    """Count what ownership by lease with aged keys does at each takeover.

    A new owner refuses keys that were made before it took over, and a key whose maker's clock
    is ahead of the takeover passes although the old owner may have run it.

    Args:
        seed: Picks ages and clock errors.
        takeovers: Takeovers to try, each with one key in use.
    """
    generator = random.Random(seed)
    refused = repeated = 0
    for _ in range(takeovers):
        made_before = generator.uniform(0.0, 6.0)
        clock_error = generator.gauss(0.0, 0.5)
        looks_newer = clock_error > made_before
        refused += not looks_newer
        repeated += looks_newer
    return {"takeovers": takeovers, "refused": refused, "could_run_twice": repeated}


def _build(seed: int) -> Simulation:
    simulation = Simulation(random.Random(seed))
    records = [
        MemberRecord(f"n-{number}", "a", f"10.0.0.{number}:1", 1) for number in range(RANGES)
    ]
    for record in records:
        node = Node(record, random.Random(f"{seed} {record.name}"))
        node.members.update({r.name: Member(r, 0.0) for r in records if r is not record})
        simulation.holders[record.peer_address] = node
        _push(simulation, simulation.random.random() * TICK_S, record.peer_address, Tick())
    return simulation


def _push(simulation: Simulation, at: float, address: str, event: Event) -> None:
    simulation.order += 1
    heappush(simulation.events, (at, simulation.order, address, event))


def _ask(simulation: Simulation, at: float) -> None:
    claim = simulation.random.randbytes(8)
    key = digest_key("fees", claim.hex())
    body = digest_request("POST", "/fees", claim)
    request = ClaimRequest("asker", find_range(key), key, body, claim)
    simulation.asked[claim] = at
    simulation.message_bytes += len(encode_message(request))
    node = next(iter(simulation.holders.values()))
    holder = list_candidates(node, request.number)[0]
    arrives = at + simulation.random.uniform(*MESSAGE_S)
    _push(simulation, arrives, holder, MessageReceived(request))


def _run(simulation: Simulation, now: float, address: str, event: Event) -> None:
    started = time.process_time()
    actions = _step(simulation.holders[address], now, event)
    simulation.cpu_s += time.process_time() - started
    if isinstance(event, Tick):
        _push(simulation, now + TICK_S, address, event)
    for action in actions:
        match action:
            case SendMessage(message=ClaimReply() as reply):
                _reply(simulation, now, reply)
            case SendMessage() | Log():
                pass
            case _:
                _use_store(simulation, now, address, action)


def _step(node: Node, now: float, event: Event) -> list[Action]:
    match event:
        case Tick():
            return tick_claims(node, now)
        case MessageReceived(message=ClaimRequest() as request):
            return receive_claim_request(node, now, request)
        case StoreAnswered():
            return receive_claim_answer(node, now, event)
    return []


def _reply(simulation: Simulation, now: float, reply: ClaimReply) -> None:
    simulation.verdicts[reply.verdict] += 1
    simulation.message_bytes += len(encode_message(reply))
    if reply.verdict == "granted":
        took = now - simulation.asked[reply.claim] + simulation.random.uniform(*MESSAGE_S)
        simulation.waits.append(took)


def _use_store(simulation: Simulation, now: float, address: str, action: Any) -> None:
    if isinstance(action, WRITES):
        simulation.writes[int(now)] += 1
    answer: StoreAnswered = apply_request(simulation.fake_store, now, action)
    _push(simulation, now + simulation.random.uniform(*STORE_S), address, answer)


def main(seed: int = 1, full: bool = False) -> None:
    """Print the comparison as JSON on the last line.

    Args:
        seed: Picks arrivals and delays.
        full: Whether to run for longer.
    """
    results = {}
    for share in SHARES:
        rate = CALLS_PER_SECOND * share
        print(f"{rate:.0f} claims a second ...", file=sys.stderr)
        held = run_holders(seed, rate, 60.0 if full else 12.0)
        results[f"{share:g}"] = {"grouped": held, "ways": compare_ways(rate, held)}
    print(
        json.dumps(
            {
                "seed": seed,
                "ranges": RANGES,
                "write_interval_ms": WRITE_INTERVAL_S * 1000,
                "record_bytes": RECORD_BYTES,
                "by_share": results,
                "aged_keys": count_aged_key_losses(seed),
            }
        )
    )


if __name__ == "__main__":
    fire.Fire(main)
