"""Failure tests of at-most-once execution: each fault at each step of a claimed request."""

from __future__ import annotations

import contextlib
import random

import eventlet
import testtools
from testscenarios import WithScenarios

from fakes.store import Faults
from magnoliasill.claims import idempotency
from magnoliasill.claims.claim_ranges import list_candidates
from magnoliasill.claims.claim_records import digest_key, find_range
from magnoliasill.codes import ErrorCode
from magnoliasill.membership.membership import leave

from .. import http_helpers
from ..claim_cluster import (
    PAST_LEASE_S,
    Cluster,
    build_cluster,
    call_once,
    name_address,
    resume,
    start_node,
)

KEY = "k-1"
ANSWER = b"ran k-1"
FIRST = name_address("a-1")
MAX_ATTEMPTS = 40
SHORT_TIMEOUT_S = 0.45  # keeps the tests short; as in production, above the reply timeout
RETRY_DELAY_S = 0.1
FINAL_CODES = {ErrorCode.KEY_USED, ErrorCode.KEY_REUSED, ErrorCode.OUTCOME_UNKNOWN}
STEPS = ("ask", "record", "recorded", "grant", "run", "answer")


def kill(cluster: Cluster, address: str, asker: str) -> None:
    cluster.dead.add(address)


def restart(cluster: Cluster, address: str, asker: str) -> None:
    start_node(cluster, cluster.nodes[address].own.name, seed=2)


def freeze_past_lease(cluster: Cluster, address: str, asker: str) -> None:
    cluster.paused_actions[address] = []
    cluster.clock_offset += PAST_LEASE_S


def lose_lease(cluster: Cluster, address: str, asker: str) -> None:
    cluster.clock_offset += PAST_LEASE_S


def stop_store(cluster: Cluster, address: str, asker: str) -> None:
    cluster.fake_store.faults = Faults(refuse=503)


def slow_store(cluster: Cluster, address: str, asker: str) -> None:
    cluster.fake_store.faults = Faults(delay_s=0.4)


def lose_store_answers(cluster: Cluster, address: str, asker: str) -> None:
    cluster.fake_store.faults = Faults(lose_answers=2)


def cut_peers(cluster: Cluster, address: str, asker: str) -> None:
    for other in cluster.nodes:
        cluster.partitions.add(frozenset((asker, other)))


def cut_store(cluster: Cluster, address: str, asker: str) -> None:
    cluster.partitions.add(frozenset((address, "store")))


FAULTS = (
    kill,
    restart,
    freeze_past_lease,
    lose_lease,
    stop_store,
    slow_store,
    lose_store_answers,
    cut_peers,
    cut_store,
)


def find_holder(cluster: Cluster) -> str:
    """Return the address of the preferred holder of the key's range."""
    node = next(iter(cluster.nodes.values()))
    return list_candidates(node, find_range(digest_key("fees", KEY)))[0]


def heal(cluster: Cluster) -> None:
    """End every fault after the leases have expired; killed processes stay dead."""
    cluster.clock_offset += PAST_LEASE_S
    cluster.partitions.clear()
    cluster.fake_store.faults = Faults()
    for address in list(cluster.paused_actions):
        resume(cluster, address)


def call_until_final(cluster: Cluster, address: str, key: str = KEY) -> object:
    """Retry a call as a caller does, until it gets a response or a final error."""
    result: object = None
    for _ in range(MAX_ATTEMPTS):
        result = call_once(cluster, address, key)
        if isinstance(result, bytes) or result in FINAL_CODES:
            return result
        eventlet.sleep(RETRY_DELAY_S)
    return result


class FaultTableTest(WithScenarios, testtools.TestCase):
    """Each fault of the holder, the store or the network at each step of a claimed request."""

    scenarios = [
        (f"{fault.__name__} at {step}", {"fault": fault, "step": step})
        for fault in FAULTS
        for step in STEPS
    ]

    def setUp(self) -> None:
        super().setUp()
        self.patch(idempotency, "CLAIM_TIMEOUT_S", SHORT_TIMEOUT_S)
        self.patch(idempotency, "REPLY_TIMEOUT_S", SHORT_TIMEOUT_S / 3)
        self.cluster = build_cluster()
        self.addCleanup(self.cluster.ticker.kill)
        self.holder = find_holder(self.cluster)
        others = [address for address in self.cluster.nodes if address != self.holder]
        self.asker, self.other = others

    def test_at_most_once(self) -> None:
        cluster = self.cluster
        cluster.faults[self.step] = lambda _: self.fault(cluster, self.holder, self.asker)
        with eventlet.Timeout(http_helpers.TIMEOUT_S):
            first = call_once(cluster, self.asker, KEY)
            runs_after_first = cluster.runs.get(KEY, 0)
            during = call_once(cluster, self.other, KEY)
            heal(cluster)
            second = call_until_final(cluster, self.other)
            third = call_until_final(cluster, self.asker)
        self.assertNotIn(self.step, cluster.faults, "the fault was not injected")
        self.assertEqual(1, cluster.runs.get(KEY, 0), (first, during, second, third))
        if isinstance(first, bytes):
            self.assertEqual(ANSWER, first)
        else:
            self.assertEqual(0, runs_after_first, "reported as not run")
        self.assertEqual((ANSWER, ANSWER), (second, third))


class TwoFaultsTest(WithScenarios, testtools.TestCase):
    """Faults of two random kinds at random steps and nodes, with two callers for each key."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(1, 7)]

    def test_at_most_once(self) -> None:
        self.patch(idempotency, "CLAIM_TIMEOUT_S", SHORT_TIMEOUT_S)
        self.patch(idempotency, "REPLY_TIMEOUT_S", SHORT_TIMEOUT_S / 3)
        cluster = build_cluster(seed=self.seed)
        self.addCleanup(cluster.ticker.kill)
        generator = random.Random(self.seed)
        addresses = list(cluster.nodes)
        keys = [f"{self.seed} {number}" for number in range(4)]
        for key in keys:
            for step in generator.sample(STEPS, 2):
                fault, target = generator.choice(FAULTS), generator.choice(addresses)
                cluster.faults[step] = lambda _, f=fault, v=target: f(cluster, v, v)
            with eventlet.Timeout(http_helpers.TIMEOUT_S):
                askers = generator.sample(addresses, 2)
                calls = [eventlet.spawn(call_once, cluster, asker, key) for asker in askers]
                results = {call.wait() for call in calls}
                cluster.faults.clear()
                heal(cluster)
                for target in cluster.dead.copy():
                    start_node(cluster, cluster.nodes[target].own.name, seed=self.seed + 100)
                last = call_until_final(cluster, generator.choice(addresses), key)
            answers = {result for result in results if isinstance(result, bytes)}
            self.assertLessEqual(answers, {f"ran {key}".encode()})
            self.assertIn(last, (f"ran {key}".encode(), ErrorCode.KEY_USED))
            self.assertLessEqual(cluster.runs.get(key, 0), 1)
            if isinstance(last, bytes):
                self.assertEqual(1, cluster.runs[key])
        self.assertEqual([], cluster.false_not_run)


class AskerFaultTest(WithScenarios, testtools.TestCase):
    """The daemon that runs the request is killed and restarted at each step."""

    scenarios = [(step, {"step": step}) for step in STEPS]

    def test_at_most_once(self) -> None:
        cluster = build_cluster()
        self.addCleanup(cluster.ticker.kill)
        holder = find_holder(cluster)
        asker, other = (address for address in cluster.nodes if address != holder)

        def restart_asker(_: str) -> None:
            start_node(cluster, cluster.nodes[asker].own.name, seed=3)
            if self.step in ("run", "answer"):
                raise eventlet.greenlet.GreenletExit
            caller.kill()

        cluster.faults[self.step] = restart_asker
        with eventlet.Timeout(http_helpers.TIMEOUT_S):
            caller = eventlet.spawn(call_once, cluster, asker, KEY)
            with contextlib.suppress(eventlet.greenlet.GreenletExit):
                caller.wait()
            result = call_until_final(cluster, other)
        self.assertNotIn(self.step, cluster.faults, "the fault was not injected")
        runs = cluster.runs.get(KEY, 0)
        if result == ANSWER:
            self.assertEqual(1, runs)
        else:
            self.assertEqual(ErrorCode.KEY_USED, result)
            self.assertIn(runs, (0, 1))


class PausedHolderTest(testtools.TestCase):
    """A holder that was paused past its lease resumes while the first caller still waits for it.

    Meanwhile another node acquired the range and granted the key to a second caller; the resumed
    holder must not grant it to the first caller as well.
    """

    def test_stale_grant(self) -> None:
        cluster = build_cluster()
        self.addCleanup(cluster.ticker.kill)
        holder = find_holder(cluster)
        asker, other = (address for address in cluster.nodes if address != holder)
        cluster.partitions.add(frozenset((asker, other)))
        number = find_range(digest_key("fees", KEY))
        cluster.nodes[other].claims.holders[number] = other
        cluster.faults["record"] = lambda _: freeze_past_lease(cluster, holder, asker)
        with eventlet.Timeout(http_helpers.TIMEOUT_S):
            first = eventlet.spawn(call_once, cluster, asker, KEY)
            while not cluster.paused_actions:
                eventlet.sleep(0)
            second = call_until_final(cluster, other)
            self.assertEqual((ANSWER, 1), (second, cluster.runs[KEY]))
            self.assertFalse(first.dead, "the first caller no longer waits")
            resume(cluster, holder)
            result = first.wait()
        self.assertEqual({KEY: 1}, cluster.runs)
        self.assertNotEqual(ANSWER, result)


class KeyTest(testtools.TestCase):
    """Responses to further requests with a key that was used before."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = build_cluster()
        self.addCleanup(self.cluster.ticker.kill)

    def test_answer_again_everywhere(self) -> None:
        answers = {call_once(self.cluster, address, KEY) for address in self.cluster.nodes}
        self.assertEqual({ANSWER}, answers)
        self.assertEqual({KEY: 1}, self.cluster.runs)

    def test_other_body(self) -> None:
        self.assertEqual(ANSWER, call_once(self.cluster, FIRST, KEY))
        for address in self.cluster.nodes:
            code = call_once(self.cluster, address, KEY, b"other")
            self.assertEqual(ErrorCode.KEY_REUSED, code)

    def test_running_elsewhere(self) -> None:
        may_finish = eventlet.Event()
        self.cluster.faults["run"] = lambda _: may_finish.wait()
        first = eventlet.spawn(call_once, self.cluster, FIRST, KEY)
        while "run" not in self.cluster.steps:
            eventlet.sleep(0)
        for address in self.cluster.nodes:
            code = call_once(self.cluster, address, KEY)
            self.assertEqual(ErrorCode.KEY_IN_PROGRESS, code)
        may_finish.send()
        self.assertEqual(ANSWER, first.wait())
        self.assertEqual({KEY: 1}, self.cluster.runs)

    def test_many_callers_at_once(self) -> None:
        addresses = list(self.cluster.nodes) * 10
        calls = [eventlet.spawn(call_once, self.cluster, address, KEY) for address in addresses]
        results = {call.wait() for call in calls}
        self.assertEqual({KEY: 1}, self.cluster.runs)
        self.assertEqual(set(), results - {ANSWER, ErrorCode.KEY_IN_PROGRESS})

    def test_nobody_to_ask(self) -> None:
        alone = build_cluster(("a-1",))
        self.addCleanup(alone.ticker.kill)
        leave(alone.nodes[FIRST])
        code = call_once(alone, FIRST, KEY)
        self.assertEqual((ErrorCode.CLAIM_UNAVAILABLE, {}), (code, alone.runs))

    def test_expired_key(self) -> None:
        old = "01890a5d-ac96-774b-bcce-b302099a8057"
        code = call_once(self.cluster, FIRST, old)
        self.assertEqual((ErrorCode.KEY_EXPIRED, {}), (code, self.cluster.runs))
