"""Tests of the administration port: error responses, team tokens, changes and reports."""

from __future__ import annotations

import io
import random
from datetime import UTC, datetime

import msgspec
import testtools
from testscenarios import WithScenarios

from fakes.store import FakeStore, build_local_store, read_entry
from magnoliasill.calls.proxy_state import Proxy
from magnoliasill.codes import ErrorCode
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.error_catalogue import ERRORS
from magnoliasill.errors import AdministrationError
from magnoliasill.process.administration import (
    ENDPOINTS,
    AdministrationContext,
    build_administration_application,
)
from magnoliasill.process.metrics import build_metrics
from magnoliasill.publishing.change_requests import (
    MAX_CHANGE_BYTES,
    MAX_CHANGES_IN_PROGRESS,
    ChangeContext,
)
from magnoliasill.publishing.publisher import read_accepted
from magnoliasill.publishing.teams import check_token, set_token
from magnoliasill.versions.service_file import encode_service_file
from tools.docs import ROOT

from ..builders import build_service

NOW = datetime(2027, 1, 1, tzinfo=UTC)


class AdministrationCase(testtools.TestCase):
    """An administration application in this process, on a fake store."""

    def setUp(self) -> None:
        super().setUp()
        self.fake_store = FakeStore()
        self.store = build_local_store(self.fake_store, lambda: 0.0)
        node = Node(MemberRecord("a-1", "a", "127.0.0.1:1", 1), random.Random(1))
        proxy = Proxy(node, self.store, build_metrics())
        self.logged: list[object] = []
        log = lambda event, **fields: self.logged.append((event, fields))  # noqa: E731
        self.context = ChangeContext(self.store, lambda: NOW, lambda attempt: None, log)
        self.application = build_administration_application(
            AdministrationContext(proxy, self._submit, self.context)
        )
        set_token(self.store, "team", "secret", 0.0, rotate=False)
        set_token(self.store, "rival", "other", 0.0, rotate=False)

    def _submit(self, event: object) -> None:
        self.submitted = event

    def _ask(self, method: str, path: str, body: bytes = b"", **environ: str) -> tuple:
        response_start: list[object] = []
        request = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            **environ,
        }
        chunks = self.application(request, lambda *values: response_start.extend(values))
        return response_start[0], dict(response_start[1]), msgspec.json.decode(b"".join(chunks))

    def _change(self, path: str, token: str, **fields: object) -> tuple:
        body = msgspec.json.encode({"publish_id": "p", "team": "team", **fields})
        return self._ask("POST", path, body, HTTP_AUTHORIZATION=f"Bearer {token}")

    def _publish(self, publish_id: str, note: str = "r1", token: str = "secret", **more: object):
        blob = msgspec.Raw(encode_service_file(build_service("certs", release=note)))
        fields = {"publish_id": publish_id, "services": [blob], "base": {}, **more}
        return self._change("/v1/publish", token, **fields)


class RefusedRequestTest(WithScenarios, AdministrationCase):
    """A bad request is answered with its status and error code as JSON, and changes nothing."""

    scenarios = [
        ("path", {"ask": ("GET", "/v2"), "status": 404, "code": "MS-606"}),
        ("method", {"ask": ("PUT", "/v1/state"), "status": 405, "code": "MS-607"}),
        ("length", {"ask": ("POST", "/v1/server"), "status": 400, "code": "MS-604", "long": "x"}),
        (
            "negative_length",
            {"ask": ("POST", "/v1/undo"), "status": 400, "code": "MS-604", "long": "-1"},
        ),
        ("empty", {"ask": ("POST", "/v1/publish"), "status": 400, "code": "MS-604"}),
        ("text", {"ask": ("POST", "/v1/undo", b"\xff"), "status": 400, "code": "MS-604"}),
        ("server", {"ask": ("POST", "/v1/server", b"[1]"), "status": 400, "code": "MS-604"}),
        (
            "large",
            {
                "ask": ("POST", "/v1/publish"),
                "status": 413,
                "code": "MS-605",
                "long": str(MAX_CHANGE_BYTES + 1),
            },
        ),
        (
            "large_server",
            {"ask": ("POST", "/v1/server"), "status": 413, "code": "MS-605", "long": "65537"},
        ),
    ]
    long = ""

    def test_refused(self) -> None:
        environ = {"CONTENT_LENGTH": self.long} if self.long else {}
        status, headers, content = self._ask(*self.ask, **environ)
        self.assertEqual(self.status, int(status.split()[0]))
        self.assertEqual(self.code, content["code"])
        self.assertEqual(ERRORS[ErrorCode(self.code)].remedy, content["advice"])
        self.assertEqual("application/json", headers["Content-Type"])
        self.assertEqual(self.status == 405, "Allow" in headers)
        self.assertEqual(None, read_accepted(self.store)[0])


class RefusedTokenTest(WithScenarios, AdministrationCase):
    """Every kind of change is refused without the team's own token."""

    scenarios = [
        (f"{path[4:]}_{name}", {"path": path, "token": token, "team": team})
        for path in ("/v1/publish", "/v1/remove", "/v1/undo")
        for name, token, team in (
            ("missing", "", "team"),
            ("wrong", "guess", "team"),
            ("of_another_team", "other", "team"),
            ("unknown_team", "secret", "nobody"),
            ("malformed_team", "secret", "../team"),
            ("not_ascii", "sécret", "team"),
        )
    ]

    def test_refused(self) -> None:
        self._publish("first")
        blob = msgspec.Raw(encode_service_file(build_service("certs", release="r2")))
        fields = {"services": [blob], "base": None, "service": "certs", "version": 1}
        status, headers, content = self._change(self.path, self.token, team=self.team, **fields)
        self.assertEqual("401 Unauthorized", status)
        self.assertEqual("MS-603", content["code"])
        self.assertIn("WWW-Authenticate", headers)
        head, services = read_accepted(self.store)
        self.assertEqual((1, build_service("certs")), (head.version, services["certs"]))


class ChangeTest(AdministrationCase):
    """Publish, remove and undo through the administration port, also with store faults."""

    def test_whole_path(self) -> None:
        self.assertEqual(1, self._publish("p1")[2]["version"])
        status, _, content = self._publish("p2", "r2")
        self.assertEqual(("409 Conflict", "MS-301"), (status, content["code"]))
        hashes = read_accepted(self.store)[0].services
        self.assertEqual(2, self._publish("p3", "r2", base=hashes)[2]["version"])
        self.assertEqual(2, self._publish("p3", "r2", base=hashes)[2]["version"])
        undone = self._change("/v1/undo", "secret", publish_id="p4", version=2)
        self.assertEqual(3, undone[2]["version"])
        self.assertEqual(build_service("certs"), read_accepted(self.store)[1]["certs"])
        removed = self._change("/v1/remove", "secret", publish_id="p5", service="certs")
        self.assertEqual(4, removed[2]["version"])
        self.assertEqual({}, read_accepted(self.store)[1])

    def test_service_of_another_team(self) -> None:
        self._publish("p1")
        for path, more in (
            ("/v1/remove", {"service": "certs"}),
            ("/v1/undo", {"version": 1}),
        ):
            status, _, content = self._change(path, "other", team="rival", **more)
            self.assertEqual(("403 Forbidden", "MS-211"), (status, content["code"]))
        status, _, content = self._publish("p2", "r2", "other", team="rival", base=None)
        self.assertEqual(("403 Forbidden", "MS-211"), (status, content["code"]))
        self.assertEqual(1, read_accepted(self.store)[0].version)

    def test_store_faults(self) -> None:
        self.fake_store.faults.refuse = 503
        status, headers, content = self._publish("p1")
        self.assertEqual(("503 Service Unavailable", "MS-302"), (status, content["code"]))
        self.assertIn("Retry-After", headers)
        self.fake_store.faults.refuse = 0
        self.fake_store.faults.lose_answers = 1_000
        status, _, content = self._publish("p1")
        self.assertEqual(("502 Bad Gateway", "MS-303"), (status, content["code"]))
        self.fake_store.faults.lose_answers = 2
        self.assertEqual("200 OK", self._publish("p1")[0])
        self.assertEqual(1, read_accepted(self.store)[0].version)

    def test_busy(self) -> None:
        self.context.in_progress = MAX_CHANGES_IN_PROGRESS
        status, headers, content = self._publish("p1")
        self.assertEqual(("503 Service Unavailable", "MS-608"), (status, content["code"]))
        self.assertIn("Retry-After", headers)

    def test_rotation_and_lost_answers(self) -> None:
        check_token(self.store, "team", "secret")
        set_token(self.store, "team", "secret", 1.0, rotate=False)
        set_token(self.store, "team", "newer", 1.0, rotate=True)
        check = (check_token, self.store, "team", "secret")
        self.assertEqual(
            ErrorCode.TOKEN_REFUSED, self.assertRaises(AdministrationError, *check).code
        )
        stored = b"".join(read_entry(self.fake_store, key).value for key in self.fake_store.items)
        self.assertNotIn(b"newer", stored)

    def test_reports(self) -> None:
        self.assertEqual("a-1", self._ask("GET", "/v1/members")[2][0]["name"])
        self.assertEqual(0, self._ask("GET", "/v1/version")[2]["version"])
        self.assertEqual([], self._ask("GET", "/v1/services")[2]["services"])
        self.assertEqual("503 Service Unavailable", self._ask("GET", "/readyz")[0])

    def test_each_call_is_documented(self) -> None:
        text = (ROOT / "docs" / "ADMINISTRATION.md").read_text(encoding="utf-8")
        for path, handlers in ENDPOINTS.items():
            for method in handlers:
                self.assertIn(f"`{method} {path}`", text)
