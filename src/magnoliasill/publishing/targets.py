"""Where a command goes: to the platform's store, or to a daemon's administration port."""

from __future__ import annotations

import os
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..errors import AdministrationError
from ..store import StoreFunction, connect_store
from ..tool.client import read_daemon, send_change
from ..versions.service_file import ServiceFile, decode_service_file, encode_service_file
from .changes import ChangeResponse, PublishRequest, RemoveRequest, UndoRequest
from .history import read_base
from .publisher import ChangeSet, plan_undo, publish, read_accepted, read_head

if TYPE_CHECKING:
    from collections.abc import Mapping

STORE_VARIABLE = "MAGNOLIASILL_STORE"
DAEMON_VARIABLE = "MAGNOLIASILL_DAEMON"
TOKEN_VARIABLE = "MAGNOLIASILL_TOKEN"
STORE_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.2
LATEST = "latest"


@attrs.frozen
class Target:
    """Where a command goes.

    Attributes:
        store: Performs requests to the platform's store, or None for a daemon.
        daemon: The daemon's administration address, or an empty string.
        token: The team's token for changes through a daemon.
    """

    store: StoreFunction | None
    daemon: str
    token: str = ""


@attrs.frozen
class Services:
    """The accepted configuration as a command reads it."""

    version: int
    hashes: dict[str, str]
    services: list[str]


def choose_target(store: str, daemon: str, token_file: str = "") -> Target:
    """Choose by flags, then by environment variables; a daemon goes before the store.

    Args:
        store: The `--store` flag.
        daemon: The `--daemon` flag.
        token_file: The `--token-file` flag.

    Raises:
        AdministrationError: If both or neither are given, or the token can't be read.
    """
    if store and daemon:
        message = "--store and --daemon don't go together"
        raise AdministrationError(ErrorCode.USAGE_INVALID, message)
    address = daemon or ("" if store else os.environ.get(DAEMON_VARIABLE, ""))
    if address:
        return Target(None, address, _read_token(token_file))
    return Target(connect_platform_store(store), "")


def connect_platform_store(store: str) -> StoreFunction:
    """Return the function that asks the platform's store.

    Args:
        store: The `--store` flag, or empty for the environment variable.

    Raises:
        AdministrationError: If the address is missing or malformed.
    """
    url = store or os.environ.get(STORE_VARIABLE, "")
    if not url.startswith("http://"):
        message = f"--store ({STORE_VARIABLE}) is {url!r}: must start with http://"
        advice = f"give --store http://ip:port, or --daemon ip:port ({DAEMON_VARIABLE})"
        raise AdministrationError(ErrorCode.SETTING_INVALID, message, advice)
    return connect_store(url.rstrip("/"), STORE_TIMEOUT_S)


def read_services(target: Target) -> tuple[int, dict[str, str], dict[str, ServiceFile]]:
    """Return the accepted version, its hashes and its service files.

    Args:
        target: Where to read; a daemon gives the version that it has in force.
    """
    if target.store is None:
        answer = read_daemon(target.daemon, "/v1/services", Services)
        files = [decode_service_file(text.encode()) for text in answer.services]
        return answer.version, answer.hashes, {file.service: file for file in files}
    head, services = read_accepted(target.store)
    return (head.version, head.services, services) if head is not None else (0, {}, {})


def resolve_base(target: Target, base: str, recorded: Mapping[str, str]) -> dict[str, str] | None:
    """Return the hashes that a publish starts from.

    Args:
        target: Where the publish goes.
        base: The `--base` flag: a version, `latest`, or empty for what the folder recorded.
        recorded: What the folder recorded.

    Raises:
        AdministrationError: If the flag is neither.
        PublishError: If the history does not reach back to the version.
    """
    if not base:
        return dict(recorded)
    if base == LATEST:
        return None
    if not base.isdecimal():
        message = f"--base is {base!r}: must be a version or `{LATEST}`"
        raise AdministrationError(ErrorCode.USAGE_INVALID, message)
    if target.store is None:
        version, hashes, _ = read_services(target)
        if version != int(base):
            message = f"the daemon has version {version} in force, not {base}"
            raise AdministrationError(ErrorCode.VERSION_UNKNOWN, message, "pull, then publish")
        return hashes
    head, _ = read_head(target.store)
    return read_base(target.store, head, int(base)) if head is not None else {}


def send_publish(target: Target, request: ChangeSet, team: str) -> ChangeResponse:
    """Have a publish or a removal accepted.

    Args:
        target: Where it goes.
        request: What to publish.
        team: The team whose token is presented to a daemon.
    """
    if target.store is not None:
        head = publish(target.store, request, datetime.now(UTC), _pause)
        return ChangeResponse(head.version, request.publish_id)
    if request.removed:
        (service,) = request.removed
        body = RemoveRequest(request.publish_id, team, service)
        return send_change(target.daemon, "/v1/remove", body, target.token, ChangeResponse)
    files = [msgspec.Raw(encode_service_file(file)) for file in request.services.values()]
    base = None if request.base is None else dict(request.base)
    sent = PublishRequest(request.publish_id, team, files, base)
    return send_change(target.daemon, "/v1/publish", sent, target.token, ChangeResponse)


def send_undo(target: Target, publish_id: str, version: int, team: str) -> ChangeResponse:
    """Have the change of one version taken back.

    Args:
        target: Where it goes.
        publish_id: The identifier of the new publish.
        version: The version to take back.
        team: The team whose token is presented to a daemon.
    """
    if target.store is not None:
        request = plan_undo(target.store, publish_id, version)
        return send_publish(target, request, team)
    body = UndoRequest(publish_id, team, version)
    return send_change(target.daemon, "/v1/undo", body, target.token, ChangeResponse)


def make_publish_id() -> str:
    """Return a new identifier of a publish."""
    return f"publish-{uuid.uuid4().hex}"


def _read_token(token_file: str) -> str:
    if not token_file:
        return os.environ.get(TOKEN_VARIABLE, "")
    try:
        return Path(token_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"--token-file {token_file}: {error}"
        raise AdministrationError(ErrorCode.FILE_UNREADABLE, message) from error


def _pause(attempt: int) -> None:
    time.sleep(RETRY_PAUSE_S * attempt)
