"""Tests of loading the daemon's settings; an error names the setting and has its code."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import ErrorCode
from magnoliasill.errors import SettingsError
from magnoliasill.process.settings import load_settings

VALID_FLAGS = {
    "name": "a-1",
    "data_centre": "a",
    "caller_port": 7001,
    "peer_port": 7002,
    "admin_port": 7003,
    "store": "http://127.0.0.1:7000",
}


class RefusedSettingTest(WithScenarios, testtools.TestCase):
    """An unknown or invalid flag is refused with its error code and named in the message."""

    scenarios = [
        ("unknown", {"flag": "colour", "value": 1, "code": ErrorCode.SETTING_UNKNOWN}),
        ("port_high", {"flag": "peer_port", "value": 70000, "code": ErrorCode.SETTING_INVALID}),
        ("port_text", {"flag": "peer_port", "value": "x", "code": ErrorCode.SETTING_INVALID}),
        ("host", {"flag": "host", "value": "here", "code": ErrorCode.SETTING_INVALID}),
        ("store", {"flag": "store", "value": "ftp://x", "code": ErrorCode.SETTING_INVALID}),
        ("seeds", {"flag": "seeds", "value": "1.2.3.4", "code": ErrorCode.SETTING_INVALID}),
        ("tick", {"flag": "tick_ms", "value": 0, "code": ErrorCode.SETTING_INVALID}),
        ("name", {"flag": "name", "value": "", "code": ErrorCode.SETTING_INVALID}),
    ]

    def test_refused(self) -> None:
        flags = {**VALID_FLAGS, self.flag: self.value}
        error = self.assertRaises(SettingsError, load_settings, flags, {})
        self.assertEqual(self.code, error.code)
        self.assertIn(self.flag.replace("_", "-"), error.message)


class SettingsTest(testtools.TestCase):
    """A setting comes from its flag, its environment variable or its default."""

    def test_missing(self) -> None:
        error = self.assertRaises(SettingsError, load_settings, {}, {})
        self.assertIn("MAGNOLIASILL_NAME", error.message)

    def test_flag_before_environment(self) -> None:
        environment = {"MAGNOLIASILL_NAME": "b", "MAGNOLIASILL_TICK_MS": "50"}
        settings = load_settings(
            {**VALID_FLAGS, "seeds": ("127.0.0.1:1", "127.0.0.1:2")}, environment
        )
        self.assertEqual("a-1", settings.name)
        self.assertEqual(50, settings.tick_ms)
        self.assertEqual(("127.0.0.1:1", "127.0.0.1:2"), settings.seeds)
