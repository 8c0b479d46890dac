"""Tests of applying a configuration: whole, closed, never older."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import ErrorCode
from magnoliasill.errors import ConfigurationError
from magnoliasill.versions.configuration import ConfigurationState, apply_staged, stage_head
from magnoliasill.versions.routing import find_route

from ..builders import build_head, build_service


class RefusedConfigurationTest(WithScenarios, testtools.TestCase):
    """A configuration that can't be applied whole leaves the one in force as it is."""

    scenarios = [
        ("older", {"version": 1, "damage": "", "code": ErrorCode.VERSION_STALE}),
        ("same", {"version": 2, "damage": "", "code": ErrorCode.VERSION_STALE}),
        ("missing_blob", {"version": 3, "damage": "missing", "code": ErrorCode.BLOB_CORRUPT}),
        ("corrupt_blob", {"version": 3, "damage": "corrupt", "code": ErrorCode.BLOB_CORRUPT}),
        ("garbage_blob", {"version": 3, "damage": "garbage", "code": ErrorCode.FILE_INVALID}),
        ("open_reference", {"version": 3, "damage": "open", "code": ErrorCode.REFERENCE_MISSING}),
    ]

    def test_refused(self) -> None:
        table = ConfigurationState()
        first, blobs = build_head(2, [build_service("certs")])
        table.blobs.update(blobs)
        stage_head(table, 0.0, first)
        apply_staged(table, 0.0)
        depends = ["absent.view"] if self.damage == "open" else []
        files = [build_service("certs"), build_service("media", depends)]
        head, blobs = build_head(self.version, files)
        victim = head.services["media"]
        if self.damage == "missing":
            del blobs[victim]
        elif self.damage == "corrupt":
            blobs[victim] = blobs[victim][:-1]
        elif self.damage == "garbage":
            garbage = build_head(3, [])[0]
            head = garbage.__class__(3, "p", 0.0, {"media": "cae66941d9efbd404e4d88758ea67670"})
            blobs = {"cae66941d9efbd404e4d88758ea67670": b""}
        table.blobs.update(blobs)
        error = self.assertRaises(ConfigurationError, stage_head, table, 1.0, head)
        self.assertEqual(self.code, error.code)
        self.assertEqual(2, table.version)
        self.assertIsNone(table.staged)
        self.assertIsNotNone(find_route(table.applied.routes, "GET", "/certs"))
        self.assertIsNone(find_route(table.applied.routes, "GET", "/media"))
