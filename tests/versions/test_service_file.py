"""Tests of parsing service files and of the checks across all services."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import ErrorCode
from magnoliasill.errors import ServiceFileError
from magnoliasill.publishing.publisher import collect_services
from magnoliasill.versions.manifest import check_finish_times, check_services
from magnoliasill.versions.service_file import (
    decode_service_file,
    encode_service_file,
    parse_service_file,
)

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
VALID_FILE = """
service = "lessons"
team = "teaching"
serving = "r1"
[[routes]]
name = "list"
method = "GET"
path = "/lessons"
[[releases]]
name = "r1"
[[releases]]
name = "r2"
"""
TAKEOVER_SECTION = """
[takeover]
from_release = "{0}"
to_release = "{1}"
start_at = {2}
finish_by = {3}
"""
EARLY, LATE = "2027-01-01T00:00:00Z", "2027-01-01T01:00:00Z"


def _add_takeover(*values: str) -> str:
    return VALID_FILE + TAKEOVER_SECTION.format(*values)


class RefusedFileTest(WithScenarios, testtools.TestCase):
    """Parsing an invalid file raises the matching error code and names the file and the fault."""

    scenarios = [
        ("syntax", {"text": "x = ", "code": ErrorCode.FILE_SYNTAX, "named": "f.toml"}),
        (
            "unknown_key",
            {"text": "zz = 1" + VALID_FILE, "code": ErrorCode.FILE_UNKNOWN_KEY, "named": "$.zz"},
        ),
        (
            "unknown_nested_key",
            {
                "text": VALID_FILE.replace('name = "list"', 'name = "list"\nretry = 2'),
                "code": ErrorCode.FILE_UNKNOWN_KEY,
                "named": "routes.retry",
            },
        ),
        (
            "missing",
            {
                "text": VALID_FILE.replace('team = "teaching"', ""),
                "code": ErrorCode.FILE_INVALID,
                "named": "team",
            },
        ),
        (
            "type",
            {
                "text": VALID_FILE.replace('"GET"', "7"),
                "code": ErrorCode.FILE_INVALID,
                "named": "routes[0].method",
            },
        ),
        (
            "range",
            {
                "text": VALID_FILE + "[limits]\nslots = 0\n",
                "code": ErrorCode.FILE_INVALID,
                "named": "limits",
            },
        ),
        (
            "serving",
            {
                "text": VALID_FILE.replace('serving = "r1"', 'serving = "r9"'),
                "code": ErrorCode.TAKEOVER_INVALID,
                "named": "r9",
            },
        ),
        (
            "takeover_unknown",
            {
                "text": _add_takeover("r1", "r9", EARLY, LATE),
                "code": ErrorCode.TAKEOVER_INVALID,
                "named": "r9",
            },
        ),
        (
            "takeover_same",
            {
                "text": _add_takeover("r1", "r1", EARLY, LATE),
                "code": ErrorCode.TAKEOVER_INVALID,
                "named": "twice",
            },
        ),
        (
            "takeover_not_serving",
            {
                "text": _add_takeover("r2", "r1", EARLY, LATE),
                "code": ErrorCode.TAKEOVER_INVALID,
                "named": "from_release",
            },
        ),
        (
            "takeover_backwards",
            {
                "text": _add_takeover("r1", "r2", LATE, EARLY),
                "code": ErrorCode.TAKEOVER_INVALID,
                "named": "finish_by",
            },
        ),
        (
            "two_takeovers",
            {
                "text": _add_takeover("r1", "r2", EARLY, LATE)
                + TAKEOVER_SECTION.format("r1", "r2", EARLY, LATE),
                "code": ErrorCode.FILE_SYNTAX,
                "named": "f.toml",
            },
        ),
    ]

    def test_refused(self) -> None:
        error = self.assertRaises(ServiceFileError, parse_service_file, self.text, "f.toml")
        self.assertEqual(self.code, error.code)
        self.assertIn("f.toml", error.message)
        self.assertIn(self.named, error.message)


class ServiceFileTest(testtools.TestCase):
    """Valid files, and the checks across all services."""

    def test_round_trip(self) -> None:
        parsed = parse_service_file(_add_takeover("r1", "r2", EARLY, LATE), "f")
        self.assertEqual(parsed, decode_service_file(encode_service_file(parsed)))

    def test_examples_are_closed(self) -> None:
        for name in ("ikenna", "valdivieso"):
            services = collect_services(EXAMPLES / name / "services")
            self.assertEqual(4, len(services))
            check_services(services)

    def test_missing_reference(self) -> None:
        services = collect_services(EXAMPLES / "ikenna" / "services")
        del services["media"]
        error = self.assertRaises(ServiceFileError, check_services, services)
        self.assertEqual(ErrorCode.REFERENCE_MISSING, error.code)

    def test_overlapping_routes(self) -> None:
        other = parse_service_file(VALID_FILE.replace('"lessons"', '"other"', 1), "f")
        services = {"lessons": parse_service_file(VALID_FILE, "f"), "other": other}
        error = self.assertRaises(ServiceFileError, check_services, services)
        self.assertEqual(ErrorCode.ROUTE_OVERLAP, error.code)

    def test_past_takeover(self) -> None:
        parsed = parse_service_file(_add_takeover("r1", "r2", EARLY, LATE), "f")
        now = datetime(2028, 1, 1, tzinfo=UTC)
        error = self.assertRaises(ServiceFileError, check_finish_times, {"lessons": parsed}, now)
        self.assertEqual(ErrorCode.TAKEOVER_INVALID, error.code)
