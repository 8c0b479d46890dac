"""Tests of decoding the operators' configuration and takeover orders, and of traffic splits."""

from __future__ import annotations

import copy
import random
from collections import Counter
from typing import Any

import attrs
import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from magnoliasill.errors import ConfigurationError
from magnoliasill.mesh.routes import SplitTable, choose_destination, find_route
from magnoliasill.mesh.takeovers import Phase
from magnoliasill.mesh.team_keys import find_team
from magnoliasill.platform.operator_configuration import (
    build_decoder,
    decode_configuration,
    decode_order,
    encode_status,
)


def build_rule(name: str, prefix: str, **action: Any) -> dict[str, Any]:
    return {
        "name": name,
        "route_kind": "idempotent",
        "target_latency_s": 0.3,
        "priority": 2,
        "match_criteria": {"prefix": prefix},
        "route_action": {"service_name": "s1", "timeout_s": 1.2, "max_attempts": 3, **action},
    }


BODY: dict[str, Any] = {
    "version": "r12",
    "limits": {"max_header_bytes": 100, "max_body_bytes": 200, "header_timeout_s": 3},
    "listener_set": [
        {
            "host_name": "Shop.example",
            "rule_set": [
                build_rule("all", "/"),
                build_rule("deep", "/a/b/"),
                build_rule("short", "/a/"),
            ],
        }
    ],
    "cluster_set": [{"name": "s1", "health_path": "/health"}],
}


def decode(**changes: Any) -> Any:
    return decode_configuration(msgspec.json.encode({**copy.deepcopy(BODY), **changes}))


class ConfigurationTest(testtools.TestCase):
    def test_longest_prefix(self) -> None:
        table = decode()
        names = [find_route(table, "shop.example", path).name for path in ("/a/b/c", "/a/c", "/x")]
        self.assertEqual(["deep", "short", "all"], names)

    # the index by prefix has to find what a search through all routes finds
    @given(st.lists(st.text("ab/", max_size=4), max_size=8), st.text("ab/", max_size=6))
    def test_any_prefixes(self, prefixes: list[str], path: str) -> None:
        rules = [build_rule(f"r{number}", prefix) for number, prefix in enumerate(prefixes)]
        table = decode(listener_set=[{"host_name": "h", "rule_set": rules}])
        matching = [rule for rule in rules if path.startswith(rule["match_criteria"]["prefix"])]
        longest = max(
            matching, key=lambda rule: len(rule["match_criteria"]["prefix"]), default=None
        )
        found = find_route(table, "h", path)
        self.assertEqual(longest and longest["name"], found and found.name)

    def test_a_host_with_port_and_without_routes(self) -> None:
        listeners = [
            {"host_name": "h:80", "rule_set": []},
            {"host_name": "h", "rule_set": [build_rule("r", "/")]},
        ]
        self.assertEqual("r", find_route(decode(listener_set=listeners), "h:80", "/x").name)

    def test_host_with_port_and_case(self) -> None:
        self.assertIsNotNone(find_route(decode(), "SHOP.example:8080", "/x"))
        self.assertIsNone(find_route(decode(), "other.example", "/x"))

    def test_fields(self) -> None:
        table = decode()
        route = find_route(table, "shop.example", "/a/b/")
        self.assertEqual(
            (12, 1.2, 0.3, 3, 2),
            (table.version, route.timeout_s, route.target_s, route.attempts, route.priority),
        )
        self.assertTrue(route.idempotent)
        self.assertEqual(
            (100, 200, 15.0),
            (table.limits.header_bytes, table.limits.body_bytes, table.limits.idle_timeout_s),
        )

    # uploads, whose kind was not known, counted as idempotent and ran twice
    def test_kinds(self) -> None:
        kinds = {"idempotent": True, "download": True, "non_idempotent": False}
        for kind, idempotent in {**kinds, "upload": False, "any other": False}.items():
            rule = {**build_rule("r", "/"), "route_kind": kind}
            table = decode(listener_set=[{"host_name": "h", "rule_set": [rule]}])
            self.assertEqual(idempotent, find_route(table, "h", "/").idempotent)

    def test_a_version_is_used_whole_or_not_at_all(self) -> None:
        rules = [build_rule("good", "/a/"), {"name": "bad"}]
        for changes in (
            {"listener_set": [{"host_name": "h", "rule_set": rules}]},
            {"version": "12"},
            {"version": "rx"},
            {"version": 12},
            {"listener_set": None},
            {"cluster_set": 7},
        ):
            self.assertRaises(ConfigurationError, decode, **changes)

    def test_cut_short_anywhere(self) -> None:
        data = msgspec.json.encode(BODY)
        for length in range(0, len(data), 7):
            self.assertRaises(ConfigurationError, decode_configuration, data[:length])

    @given(st.binary(max_size=100))
    def test_any_bytes(self, data: bytes) -> None:
        self.assertRaises(ConfigurationError, decode_configuration, data)


class DecoderTest(testtools.TestCase):
    """Successive versions, which share the routes that did not change."""

    @given(st.lists(st.lists(st.integers(0, 5), max_size=6), min_size=1, max_size=5))
    def test_each_version_is_as_if_it_were_the_first(self, versions: list[list[int]]) -> None:
        decode_next = build_decoder()
        for numbers in versions:
            rules = [build_rule(f"r{number}", f"/{number}/") for number in numbers]
            listeners = [{"host_name": "h", "rule_set": rules}]
            value = msgspec.json.encode({**BODY, "listener_set": listeners})
            self.assertEqual(decode_configuration(value), decode_next(value))

    def test_routes_that_did_not_change_are_the_same_objects(self) -> None:
        decode_next = build_decoder()
        tables = [
            decode_next(msgspec.json.encode({**BODY, "version": f"r{number}"}))
            for number in (12, 13)
        ]
        first, second = (find_route(table, "shop.example", "/a/x") for table in tables)
        self.assertIs(first, second)

    def test_a_version_that_is_refused_changes_nothing(self) -> None:
        decode_next, value = build_decoder(), msgspec.json.encode(BODY)
        before = decode_next(value)
        rules = [build_rule("all", "/"), {"name": "bad"}]
        bad = {**BODY, "listener_set": [{"host_name": "shop.example", "rule_set": rules}]}
        self.assertRaises(ConfigurationError, decode_next, msgspec.json.encode(bad))
        self.assertEqual(before, decode_next(value))


class SplitTest(testtools.TestCase):
    def build(self, *weights: float) -> Any:
        split = [{"service_name": f"s{n}", "weight": weight} for n, weight in enumerate(weights)]
        rule = build_rule("r", "/", traffic_split=split)
        del rule["route_action"]["service_name"]
        return find_route(decode(listener_set=[{"host_name": "h", "rule_set": [rule]}]), "h", "/")

    def test_shares_over_many_sidecars_with_few_requests_each(self) -> None:
        route = self.build(90, 10)
        counts: Counter[str] = Counter()
        for seed in range(16):
            splits, generator = SplitTable(), random.Random(seed)
            counts.update(choose_destination(splits, route, generator) for _ in range(20))
        self.assertAlmostEqual(0.1, counts["s1"] / 320, delta=0.03)

    def test_each_sidecar_keeps_close(self) -> None:
        route = self.build(70, 20, 10)
        splits, generator = SplitTable(), random.Random(1)
        counts = Counter(choose_destination(splits, route, generator) for _ in range(100))
        self.assertLessEqual(abs(counts["s0"] - 70), 2)
        self.assertLessEqual(abs(counts["s2"] - 10), 2)

    def test_a_part_without_weight_gets_nothing(self) -> None:
        route = self.build(100, 0)
        chosen = {choose_destination(SplitTable(), route, random.Random(n)) for n in range(20)}
        self.assertEqual({"s0"}, chosen)


class OrderTest(testtools.TestCase):
    def test_order(self) -> None:
        data = b'{"service_name":"s1","target_version":"v2","duration_s":12}'
        order = decode_order(data)
        self.assertEqual(("s1", "v2", 12.0), (order.service, order.release, order.duration_s))

    def test_unreadable(self) -> None:
        for data in (b"", b"[]", b"{}", b'{"service_name":"s","duration_s":1}', b"\xff"):
            self.assertRaises(ConfigurationError, decode_order, data)

    def test_status(self) -> None:
        status = msgspec.json.decode(encode_status("v2", Phase.TAKEN_BACK))
        self.assertEqual({"state": "rolled_back", "target_version": "v2"}, status)


class TeamsTest(testtools.TestCase):
    TEAMS = [
        {"name": "a", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 9, "burst_size": 3},
        {"name": "b", "api_keys": ["k3"]},
    ]

    # a key must lead to its own team only, and the configuration in memory must not show it
    def test_keys_lead_to_teams(self) -> None:
        table = decode(tenant_table=self.TEAMS)
        teams = [find_team(table, key) for key in ("k1", "k2", "k3", "k4", "", "K1", "k1 ")]
        self.assertEqual(["a", "a", "b"], [team.name for team in teams if team])
        self.assertEqual((1, 9.0, 3.0), (teams[0].priority, teams[0].rate_per_s, teams[0].burst))
        self.assertEqual((0.0, 0.0), (teams[2].rate_per_s, teams[2].burst))
        self.assertNotIn("k1", repr(table))

    # without a table, no request needs a key; with an empty one, none is known
    def test_an_empty_table(self) -> None:
        self.assertIsNone(decode().teams)
        self.assertEqual({}, decode(tenant_table=[]).teams)

    # a request could have run in the name of the wrong team
    def test_a_shared_key_is_refused(self) -> None:
        teams = [{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["k"]}]
        self.assertRaises(ConfigurationError, decode, tenant_table=teams)

    def test_a_negative_rate_is_refused(self) -> None:
        self.assertRaises(
            ConfigurationError, decode, tenant_table=[{"name": "a", "rate_per_s": -1}]
        )

    # a service without a rate is not limited while its servers are cold
    def test_warmups(self) -> None:
        clusters = [{"name": "s1", "warmup_s": 3.0, "warmup_per_s": 14.0}, {"name": "s2"}]
        warmups = decode(cluster_set=clusters).warmups
        self.assertEqual({"s1": (3.0, 14.0)}, {n: attrs.astuple(w) for n, w in warmups.items()})

    # a path that breaks the request line would be sent to the server
    def test_health_paths(self) -> None:
        paths = ("/health", None, 7, "", "health", "/a b", "/a\r\nX: 1", "/" + "a" * 300)
        clusters = [{"name": f"s{i}", "health_path": path} for i, path in enumerate(paths)]
        self.assertEqual({"s0": "/health"}, decode(cluster_set=clusters).health_paths)
