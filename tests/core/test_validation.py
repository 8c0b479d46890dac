"""Tests of the validation of peer messages."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.core.validation import is_address


class PeerAddressTest(WithScenarios, testtools.TestCase):
    """Guards against members of the own interface that no message can be sent to."""

    scenarios = [
        (text, {"text": text, "valid": valid})
        for text, valid in (
            ("10.0.0.1:7001", True),
            ("[::1]:7001", True),
            ("::1:7001", True),
            ("::::..:80", False),
            ("[[[]]]:80", False),
            ("[::1:80", False),
            ("....:80", False),
            ("10.0.0.1:65536", False),
            ("10.0.0.1:0", False),
            ("10.0.0.1:٣٣", False),
        )
    ]

    # the messaging library raised an error for it, which ended the daemon's periodic work
    def test_only_addresses_that_exist_are_valid(self) -> None:
        self.assertEqual(self.valid, is_address(self.text))
