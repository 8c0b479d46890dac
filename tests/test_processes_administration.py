"""Tests of the tool and of the administration port against daemon processes."""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools
import urllib3
from testscenarios import WithScenarios

from fakes.processes import (
    ROOT,
    TOOL_SCRIPT,
    DaemonProcess,
    find_ports,
    post_json,
    read_json,
    read_version,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)
from magnoliasill.tool.cli import COMMANDS

from .command_line import run_tool

TIMEOUT_S = 60.0
DAEMON_SCRIPT = "from magnoliasill.programs import run_daemon; run_daemon()"
EXAMPLE = ROOT / "examples" / "ikenna" / "services"


def wait_for_event(daemon: DaemonProcess, number: int) -> None:
    """Wait until a daemon has logged an event."""
    text = f'"number": {number}'
    wait_until(lambda: text in daemon.log_path.read_text(), TIMEOUT_S, f"event {number}")


class ToolTest(testtools.TestCase):
    """Commands of two teams and of operators against two daemons and the fake store."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fleet = start_fleet(self.folder)
        self.addCleanup(lambda: stop_fleet(self.fleet))
        first = start_daemon(self.fleet, "a-1", "a")
        seed = f"127.0.0.1:{first.peer_port}"
        self.daemons = [first, start_daemon(self.fleet, "b-1", "b", seed)]
        for daemon in self.daemons:
            wait_for_event(daemon, 1001)
        wait_until(self._know_each_other, TIMEOUT_S, "membership")

    def _know_each_other(self) -> bool:
        members = [read_json(daemon.admin, "/v1/members") for daemon in self.daemons]
        return all({record["name"] for record in records} == {"a-1", "b-1"} for records in members)

    def _succeed(self, *arguments: str, **environment: str) -> str:
        result = run_tool(*arguments, **environment)
        self.assertEqual(0, result.returncode, result.stderr)
        return result.stdout

    def _fail(self, code: str, *arguments: str, **environment: str) -> str:
        result = run_tool(*arguments, **environment)
        self.assertEqual(1, result.returncode, result.stderr)
        self.assertTrue(result.stderr.startswith(code), result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        return result.stderr

    def test_teams_and_operators(self) -> None:
        store = f"--store={self.fleet.store_url}"
        via_daemon = f"--daemon={self.daemons[1].admin}"
        own_folder, pulled_folder = self.folder / "mine", self.folder / "theirs"
        for path in (own_folder, pulled_folder):
            path.mkdir()
        shutil.copy(EXAMPLE / "media.toml", own_folder)
        team = "learning"
        text = (own_folder / "media.toml").read_text()
        (own_folder / "media.toml").write_text(
            "\n".join(f'team = "{team}"' if "team =" in line else line for line in text.split("\n"))
        )
        token = self._succeed("team", "create", team, store).strip()
        rival_token = json.loads(self._succeed("team", "create", "rival", store, "--json"))["token"]
        self._fail("MS-609", "team", "create", team, store)
        publish = ("publish", str(own_folder), via_daemon)
        self._fail("MS-603", *publish)
        self._fail("MS-603", *publish, MAGNOLIASILL_TOKEN=rival_token)
        self.assertIn("version 1", self._succeed(*publish, MAGNOLIASILL_TOKEN=token))
        self._fail("MS-211", *publish, "--team=rival", MAGNOLIASILL_TOKEN=rival_token)
        self._succeed("convergence", self.daemons[0].admin, "--version=1", "--wait=30")
        self._succeed("pull", str(pulled_folder), f"--daemon={self.daemons[0].admin}")
        changed = (pulled_folder / "media.toml").read_text().replace('GET"', 'HEAD"')
        (pulled_folder / "media.toml").write_text(changed)
        self._succeed("publish", str(pulled_folder), store)
        (own_folder / "media.toml").write_text(
            (own_folder / "media.toml").read_text().replace("slots = ", "slots = 1")
        )
        error = self._fail("MS-301", *publish, MAGNOLIASILL_TOKEN=token)
        self.assertIn("pull", error)
        self._fail("MS-213", "pull", str(own_folder), store)
        self._succeed(*publish, "--base=latest", MAGNOLIASILL_TOKEN=token)
        self._succeed("undo", "3", store)
        shown = json.loads(self._succeed("show", "media", store, "--json"))
        self.assertIn("HEAD", [route["method"] for route in shown["routes"]])
        self._succeed("remove", "media", via_daemon, f"--team={team}", MAGNOLIASILL_TOKEN=token)
        self._fail("MS-210", "show", "media", store)
        lines = self._succeed("history", store).splitlines()
        self.assertEqual(5, len(lines))
        report = json.loads(
            self._succeed(
                "convergence", self.daemons[0].admin, "--version=5", "--wait=30", "--json"
            )
        )
        self.assertEqual((5, True), (report["newest"], report["converged"]))
        self.assertEqual({"a": {"5": 1}, "b": {"5": 1}}, report["versions"])

    def test_who_is_behind(self) -> None:
        self._succeed("publish", str(self._copy_example()), f"--store={self.fleet.store_url}")
        self._succeed("convergence", self.daemons[0].admin, "--version=1", "--wait=30")
        self.daemons[1].process.kill()
        self.daemons[1].process.wait()
        error = self._fail("MS-611", "convergence", self.daemons[0].admin, "--wait=0.1")
        self.assertIn("b-1 on ?: does not answer", error)
        self.assertIn("b-1", self._succeed("members", self.daemons[0].admin))

    def test_wrong_addresses(self) -> None:
        unused_address = f"127.0.0.1:{find_ports(1)[0]}"
        store = self.fleet.store_url.removeprefix("http://")
        for address in (unused_address, store, self.daemons[0].caller, "nowhere:x", "::"):
            for command in ("dump", "members", "convergence"):
                self._fail("MS-602", command, address)
        self._fail("MS-602", "remove", "media", f"--daemon={unused_address}")
        self._fail("MS-302", "status", f"--store=http://{unused_address}")

    def test_port_serves_on_after_bad_requests(self) -> None:
        admin = self.daemons[0].admin
        for method, path, body in (
            ("POST", "/v1/publish", b"x" * 2_000_001),
            ("POST", "/v1/server", b"\xff"),
            ("BREW", "/v1/state", b""),
            ("GET", "/" + "x" * 10_000, b""),
        ):
            answer = urllib3.request(
                method, f"http://{admin}{path}", body=body, timeout=TIMEOUT_S, retries=False
            )
            self.assertIn(answer.status, (400, 404, 405, 413, 414))
        self.assertEqual("ok", read_json(admin, "/healthz")["status"])
        self.assertEqual("MS-604", post_json(admin, "/v1/undo", {"version": "x"})["code"])

    def _copy_example(self) -> Path:
        return Path(shutil.copytree(EXAMPLE, self.folder / "services"))


class UsageTest(WithScenarios, testtools.TestCase):
    """Unknown commands or flags and missing or extra arguments exit with status 2 and no effect."""

    scenarios = [
        ("command", {"arguments": ("publsh", "x")}),
        ("flag", {"arguments": ("check", str(EXAMPLE), "--jsno")}),
        (
            "flag_of_publish",
            {"arguments": ("publish", str(EXAMPLE), "--bsae=1", "--store=http://x")},
        ),
        ("missing", {"arguments": ("undo",)}),
        ("more", {"arguments": ("status", "a", "b", "c", "d")}),
        ("team", {"arguments": ("team", "creat", "x")}),
    ]

    def test_refused(self) -> None:
        result = run_tool(*self.arguments)
        self.assertEqual(2, result.returncode, result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        self.assertNotIn("MS-", result.stderr)


class HelpTest(testtools.TestCase):
    """Each command has a help text, and docs/ADMINISTRATION.md lists it."""

    def test_help(self) -> None:
        for arguments in (("--help",), ("publish", "--help"), ("team", "--help")):
            result = run_tool(*arguments)
            self.assertEqual(0, result.returncode, result.stderr)
            self.assertIn("SYNOPSIS", result.stdout + result.stderr)

    def test_each_command_is_documented(self) -> None:
        text = (ROOT / "docs" / "ADMINISTRATION.md").read_text(encoding="utf-8")
        names = [name for name in COMMANDS if name != "team"]
        names += [f"team {name}" for name in COMMANDS["team"]]
        self.assertEqual([], [name for name in names if f"`magnoliasill {name}" not in text])


class OutputTest(testtools.TestCase):
    """The tool exits without a traceback when the reader of its output closes the pipe."""

    def test_reader_goes_away(self) -> None:
        arguments = ["check", str(EXAMPLE)]
        command = [sys.executable, "-c", TOOL_SCRIPT, *arguments]
        with subprocess.Popen(
            command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        ) as tool:
            tool.stdout.close()
            self.assertEqual("", tool.stderr.read())
        self.assertEqual(1, tool.returncode)


class DaemonStartTest(WithScenarios, testtools.TestCase):
    """An invalid setting makes the daemon exit with status 2 and one log line that names it."""

    scenarios = [
        ("missing", {"flags": {"name": None}, "named": "--name"}),
        ("misspelt", {"flags": {"pear_port": 1}, "named": "did you mean --peer-port"}),
        ("range", {"flags": {"tick_ms": 1}, "named": "--tick-ms"}),
        ("foreign_host", {"flags": {"host": "192.0.2.1"}, "named": "MS-103"}),
        ("same_port", {"flags": {"admin_port": "caller"}, "named": "MS-103"}),
        ("argument", {"flags": {"": "word"}, "named": "word"}),
    ]

    def test_refused(self) -> None:
        caller, peer, admin = find_ports(3)
        flags = {
            "name": "a-1",
            "data_centre": "a",
            "caller_port": caller,
            "peer_port": peer,
            "admin_port": admin,
            "store": "http://127.0.0.1:1",
            **self.flags,
        }
        if flags["admin_port"] == "caller":
            flags["admin_port"] = caller
        arguments = [f"--{name.replace('_', '-')}={value}" for name, value in flags.items() if name]
        arguments = [argument for argument in arguments if not argument.endswith("=None")]
        arguments += [flags[""]] if "" in flags else []
        command = [sys.executable, "-c", DAEMON_SCRIPT, *arguments]
        result = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
        )
        self.assertEqual(2, result.returncode, result.stderr)
        self.assertIn(self.named, result.stderr)
        self.assertNotIn("Traceback", result.stderr)


class DaemonHelpTest(testtools.TestCase):
    """The daemon's help lists its settings."""

    def test_help(self) -> None:
        command = [sys.executable, "-c", DAEMON_SCRIPT, "--help"]
        result = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
        )
        self.assertEqual(0, result.returncode)
        self.assertIn("--data-centre (MAGNOLIASILL_DATA_CENTRE)", result.stdout)


class DaemonWithoutStoreTest(testtools.TestCase):
    """A daemon starts while the store refuses requests and applies a version once it responds."""

    def test_starts(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            fleet = start_fleet(Path(folder))
            self.addCleanup(stop_fleet, fleet)
            post_json(fleet.store_url.removeprefix("http://"), "/control/faults", {"refuse": 503})
            daemon = start_daemon(fleet, "a-1", "a")
            wait_for_event(daemon, 4001)
            self.assertEqual("ok", read_json(daemon.admin, "/healthz")["status"])
            post_json(fleet.store_url.removeprefix("http://"), "/control/faults", {})
            services = Path(shutil.copytree(EXAMPLE, Path(folder) / "services"))
            result = run_tool("publish", str(services), f"--store={fleet.store_url}")
            self.assertEqual(0, result.returncode, result.stderr)
            wait_until(lambda: read_version(daemon) == 1, TIMEOUT_S, "convergence")
