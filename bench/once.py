"""Compares methods that run a request at most once: claim rate, latency and store writes."""

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
from magnoliasill.claims.claim_ranges import (
    list_candidates,
    receive_claim_answer,
    receive_claim_request,
    tick_claims,
)
from magnoliasill.claims.claim_recording import WRITE_INTERVAL_S, count_records
from magnoliasill.claims.claim_records import (
    RANGE_COUNT,
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
CLAIM_SHARES = (0.005, 0.01, 0.02)
WRITE_BUDGET_PER_SECOND = 300
STORE_DELAY_S = (0.002, 0.008)
MESSAGE_DELAY_S = (0.0003, 0.0025)
TICK_INTERVAL_S = 0.1
WRITE_ACTIONS = (StoreWrite, StoreDelete, LeaseGrant, LeaseKeepAlive, LeaseRevoke)


@attrs.define
class Simulation:
    """The holders of key ranges in virtual time, with the store and the messages.

    Attributes:
        random: Generator of arrivals and delays.
        holders: The nodes that hold ranges, by peer address.
        fake_store: The entries and leases of the store.
        events: Heap of scheduled events: time, number, address of the holder, event.
        writes: Number of store writes by second.
        requested_at: When each claim was requested.
        grant_delays_s: Seconds from each request to its grant.
        verdicts: Number of replies by verdict.
        cpu_s: Processor time of the holders' code.
        message_bytes: Total bytes of claim requests and replies.
        event_count: Number of events scheduled so far; orders events of equal time.
    """

    random: random.Random
    holders: dict[str, Node] = attrs.field(factory=dict)
    fake_store: FakeStore = attrs.field(factory=FakeStore)
    events: list[Any] = attrs.field(factory=list)
    writes: Counter[int] = attrs.field(factory=Counter)
    requested_at: dict[bytes, float] = attrs.field(factory=dict)
    grant_delays_s: list[float] = attrs.field(factory=list)
    verdicts: Counter[str] = attrs.field(factory=Counter)
    cpu_s: float = 0.0
    message_bytes: int = 0
    event_count: int = 0


def run_holders(seed: int, claims_per_second: float, seconds: float) -> dict[str, Any]:
    """Send claims at random times to the holders of all key ranges and return the figures.

    Args:
        seed: Picks arrivals and delays.
        claims_per_second: Claims per second of all daemons.
        seconds: Length of the run in virtual time.
    """
    simulation = _build(seed)
    sent_at = 1.0
    while sent_at < seconds:
        sent_at += simulation.random.expovariate(claims_per_second)
        _send_claim_request(simulation, sent_at)
    warm_up_s = 3.0
    while simulation.events:
        now, _, address, event = heappop(simulation.events)
        if now < seconds + 2.0:
            _process_event(simulation, now, address, event)
    steady_writes = [
        count for second, count in simulation.writes.items() if warm_up_s <= second < seconds - 1
    ]
    request_count = len(simulation.requested_at)
    grant_delays_s = sorted(simulation.grant_delays_s)
    busiest_holder = max(simulation.holders.values(), key=count_records)
    return {
        "claims_per_second": round(request_count / (seconds - 1.0), 1),
        "granted": simulation.verdicts["granted"],
        "refused": request_count - simulation.verdicts["granted"],
        "added_ms_p50": round(grant_delays_s[len(grant_delays_s) // 2] * 1000, 2),
        "added_ms_p99": round(grant_delays_s[int(len(grant_delays_s) * 0.99)] * 1000, 2),
        "store_writes_per_second": round(sum(steady_writes) / len(steady_writes), 1),
        "store_writes_per_second_max": max(steady_writes),
        "engine_us_per_claim": round(simulation.cpu_s / request_count * 1e6, 1),
        "message_bytes_per_claim": round(simulation.message_bytes / request_count),
        "records_of_busiest": count_records(busiest_holder),
    }


def compare_methods(claims_per_second: float, measured: dict[str, Any]) -> dict[str, Any]:
    """Return the store writes of each method at a rate of claims.

    Args:
        claims_per_second: Claims per second of all daemons.
        measured: The figures of `run_holders` at this rate.
    """
    writes_per_second = claims_per_second
    return {
        "key_each": {
            "store_writes_per_second": writes_per_second,
            "fits": writes_per_second <= WRITE_BUDGET_PER_SECOND,
        },
        "grouped": {
            "store_writes_per_second": measured["store_writes_per_second"],
            "fits": measured["store_writes_per_second_max"] <= WRITE_BUDGET_PER_SECOND,
        },
        "aged_keys": {"store_writes_per_second": RANGE_COUNT, "fits": True},
    }


def count_aged_key_losses(seed: int, ownership_changes: int = 1_000) -> dict[str, Any]:
    """Count refused and repeated requests if a new range owner judges keys by their age.

    A new owner refuses keys that were created before it acquired the range. If the clock of a
    key's creator is ahead, the owner accepts a key whose request the old owner may have run.

    Args:
        seed: Chooses ages and clock errors.
        ownership_changes: Number of ownership changes, each with one key in use.
    """
    generator = random.Random(seed)
    refused = ran_twice = 0
    for _ in range(ownership_changes):
        key_age_s = generator.uniform(0.0, 6.0)
        clock_error_s = generator.gauss(0.0, 0.5)
        seems_newer = clock_error_s > key_age_s
        refused += not seems_newer
        ran_twice += seems_newer
    return {"takeovers": ownership_changes, "refused": refused, "could_run_twice": ran_twice}


def _build(seed: int) -> Simulation:
    simulation = Simulation(random.Random(seed))
    records = [
        MemberRecord(f"n-{number}", "a", f"10.0.0.{number}:1", 1) for number in range(RANGE_COUNT)
    ]
    for record in records:
        node = Node(record, random.Random(f"{seed} {record.name}"))
        node.members.update({r.name: Member(r, 0.0) for r in records if r is not record})
        simulation.holders[record.peer_address] = node
        _schedule(
            simulation, simulation.random.random() * TICK_INTERVAL_S, record.peer_address, Tick()
        )
    return simulation


def _schedule(simulation: Simulation, due_at: float, address: str, event: Event) -> None:
    simulation.event_count += 1
    heappush(simulation.events, (due_at, simulation.event_count, address, event))


def _send_claim_request(simulation: Simulation, sent_at: float) -> None:
    claim = simulation.random.randbytes(8)
    key = digest_key("fees", claim.hex())
    body = digest_request("POST", "/fees", claim)
    request = ClaimRequest("asker", find_range(key), key, body, claim)
    simulation.requested_at[claim] = sent_at
    simulation.message_bytes += len(encode_message(request))
    node = next(iter(simulation.holders.values()))
    holder = list_candidates(node, request.number)[0]
    arrives_at = sent_at + simulation.random.uniform(*MESSAGE_DELAY_S)
    _schedule(simulation, arrives_at, holder, MessageReceived(request))


def _process_event(simulation: Simulation, now: float, address: str, event: Event) -> None:
    started = time.process_time()
    actions = _step(simulation.holders[address], now, event)
    simulation.cpu_s += time.process_time() - started
    if isinstance(event, Tick):
        _schedule(simulation, now + TICK_INTERVAL_S, address, event)
    for action in actions:
        match action:
            case SendMessage(message=ClaimReply() as reply):
                _record_reply(simulation, now, reply)
            case SendMessage() | Log():
                pass
            case _:
                _send_store_request(simulation, now, address, action)


def _step(node: Node, now: float, event: Event) -> list[Action]:
    match event:
        case Tick():
            return tick_claims(node, now)
        case MessageReceived(message=ClaimRequest() as request):
            return receive_claim_request(node, now, request)
        case StoreAnswered():
            return receive_claim_answer(node, now, event)
    return []


def _record_reply(simulation: Simulation, now: float, reply: ClaimReply) -> None:
    simulation.verdicts[reply.verdict] += 1
    simulation.message_bytes += len(encode_message(reply))
    if reply.verdict == "granted":
        delay_s = (
            now - simulation.requested_at[reply.claim] + simulation.random.uniform(*MESSAGE_DELAY_S)
        )
        simulation.grant_delays_s.append(delay_s)


def _send_store_request(simulation: Simulation, now: float, address: str, action: Any) -> None:
    if isinstance(action, WRITE_ACTIONS):
        simulation.writes[int(now)] += 1
    response: StoreAnswered = apply_request(simulation.fake_store, now, action)
    _schedule(simulation, now + simulation.random.uniform(*STORE_DELAY_S), address, response)


def main(seed: int = 1, full: bool = False) -> None:
    """Print the comparison as JSON on the last line.

    Args:
        seed: Picks arrivals and delays.
        full: Whether to run for longer.
    """
    results = {}
    for share in CLAIM_SHARES:
        claims_per_second = CALLS_PER_SECOND * share
        print(f"{claims_per_second:.0f} claims per second ...", file=sys.stderr)
        measured = run_holders(seed, claims_per_second, 60.0 if full else 12.0)
        results[f"{share:g}"] = {
            "grouped": measured,
            "ways": compare_methods(claims_per_second, measured),
        }
    print(
        json.dumps(
            {
                "seed": seed,
                "ranges": RANGE_COUNT,
                "write_interval_ms": WRITE_INTERVAL_S * 1000,
                "record_bytes": RECORD_BYTES,
                "by_share": results,
                "aged_keys": count_aged_key_losses(seed),
            }
        )
    )


if __name__ == "__main__":
    fire.Fire(main)
