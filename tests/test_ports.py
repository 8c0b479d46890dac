"""Tests of the choice of ports for processes on this machine."""

from __future__ import annotations

from pathlib import Path

import testtools

from fakes.processes import find_ports

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class PortsTest(testtools.TestCase):
    """No port is one that the system may take for an outgoing connection in the meantime."""

    def test_below_the_outgoing_range(self) -> None:
        lowest = int(RANGE.read_text().split()[0]) if RANGE.exists() else 32_768
        ports = find_ports(300)
        self.assertEqual(300, len(set(ports)))
        self.assertLess(max(ports), lowest)
