"""Tests of the choice of listening ports for test processes."""

from __future__ import annotations

from pathlib import Path

import testtools

from fakes.processes import find_ports

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class PortsTest(testtools.TestCase):
    """Ports are unique and outside the range from which the kernel picks ephemeral ports.

    Otherwise an outgoing connection could take a port before the process listens on it.
    """

    def test_below_the_outgoing_range(self) -> None:
        # 32768 is the default of Linux, for systems without procfs.
        lowest = int(PORT_RANGE.read_text().split()[0]) if PORT_RANGE.exists() else 32_768
        ports = find_ports(300)
        self.assertEqual(300, len(set(ports)))
        self.assertLess(max(ports), lowest)
