"""Tests that a node applies only complete, valid and newer configurations."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import ErrorCode
from magnoliasill.errors import ConfigurationError
from magnoliasill.versions.configuration import ConfigurationState, apply_staged, stage_head
from magnoliasill.versions.routing import find_route

from ..builders import build_head, build_service


class RefusedConfigurationTest(WithScenarios, testtools.TestCase):
    """A configuration that is older, incomplete or invalid leaves the applied one unchanged."""

    scenarios = [
        ("older", {"version": 1, "damage": "", "code": ErrorCode.VERSION_STALE}),
        ("same", {"version": 2, "damage": "", "code": ErrorCode.VERSION_STALE}),
        ("missing_blob", {"version": 3, "damage": "missing", "code": ErrorCode.BLOB_CORRUPT}),
        ("corrupt_blob", {"version": 3, "damage": "corrupt", "code": ErrorCode.BLOB_CORRUPT}),
        ("garbage_blob", {"version": 3, "damage": "garbage", "code": ErrorCode.FILE_INVALID}),
        ("open_reference", {"version": 3, "damage": "open", "code": ErrorCode.REFERENCE_MISSING}),
    ]

    def test_refused(self) -> None:
        state = ConfigurationState()
        first, blobs = build_head(2, [build_service("certs")])
        state.blobs.update(blobs)
        stage_head(state, 0.0, first)
        apply_staged(state, 0.0)
        depends_on = ["absent.view"] if self.damage == "open" else []
        files = [build_service("certs"), build_service("media", depends_on)]
        head, blobs = build_head(self.version, files)
        media_hash = head.services["media"]
        if self.damage == "missing":
            del blobs[media_hash]
        elif self.damage == "corrupt":
            blobs[media_hash] = blobs[media_hash][:-1]
        elif self.damage == "garbage":
            garbage = build_head(3, [])[0]
            head = garbage.__class__(3, "p", 0.0, {"media": "cae66941d9efbd404e4d88758ea67670"})
            blobs = {"cae66941d9efbd404e4d88758ea67670": b""}
        state.blobs.update(blobs)
        error = self.assertRaises(ConfigurationError, stage_head, state, 1.0, head)
        self.assertEqual(self.code, error.code)
        self.assertEqual(2, state.version)
        self.assertIsNone(state.staged)
        self.assertIsNotNone(find_route(state.applied.routes, "GET", "/certs"))
        self.assertIsNone(find_route(state.applied.routes, "GET", "/media"))
