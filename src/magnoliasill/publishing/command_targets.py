"""Runs commands against the platform's store or against a daemon's administration port."""

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
from .change_requests import ChangeResponse, PublishRequest, RemoveRequest, UndoRequest
from .history import read_service_hashes
from .publisher import ChangeSet, plan_undo, publish, read_accepted, read_head

if TYPE_CHECKING:
    from collections.abc import Mapping

STORE_VARIABLE = "MAGNOLIASILL_STORE"
DAEMON_VARIABLE = "MAGNOLIASILL_DAEMON"
TOKEN_VARIABLE = "MAGNOLIASILL_TOKEN"
STORE_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
LATEST = "latest"


@attrs.frozen
class Target:
    """The store or the daemon that a command talks to.

    Attributes:
        store: Sends a request to the platform's store, or None if the target is a daemon.
        daemon: The daemon's administration address, or empty if the target is the store.
        token: The team's token, which a daemon requires for changes.
    """

    store: StoreFunction | None
    daemon: str
    token: str = ""


@attrs.frozen
class ServicesResponse:
    """The response of a daemon to `GET /v1/services`.

    Attributes:
        version: The version that the daemon has applied.
        hashes: For each service name, the hash of its blob.
        services: The service files in the stored form.
    """

    version: int
    hashes: dict[str, str]
    services: list[str]


def choose_target(store: str, daemon: str, token_file: str = "") -> Target:
    """Choose a command's target from its flags, then from the environment variables.

    Without flags, a daemon named in the environment takes precedence over the store.

    Args:
        store: The `--store` flag.
        daemon: The `--daemon` flag.
        token_file: The `--token-file` flag.

    Raises:
        AdministrationError: If both a store and a daemon or neither are given, the store's address
            is malformed, or the token file can't be read.
    """
    if store and daemon:
        message = "--store and --daemon can't be used together"
        raise AdministrationError(ErrorCode.USAGE_INVALID, message)
    address = daemon or ("" if store else os.environ.get(DAEMON_VARIABLE, ""))
    if address:
        return Target(None, address, _read_token(token_file))
    return Target(connect_platform_store(store), "")


def connect_platform_store(store: str) -> StoreFunction:
    """Return a function that sends requests to the platform's store.

    Args:
        store: The `--store` flag, or empty to use the environment variable.

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
        target: The store, or a daemon, which returns the version that it has applied.
    """
    if target.store is None:
        answer = read_daemon(target.daemon, "/v1/services", ServicesResponse)
        files = [decode_service_file(text.encode()) for text in answer.services]
        return answer.version, answer.hashes, {file.service: file for file in files}
    head, services = read_accepted(target.store)
    return (head.version, head.services, services) if head is not None else (0, {}, {})


def resolve_base(target: Target, base: str, recorded: Mapping[str, str]) -> dict[str, str] | None:
    """Return the service hashes that a publish is based on, or None to overwrite unchecked.

    Args:
        target: The store or the daemon to publish to.
        base: The `--base` flag: a version, `latest`, or empty to use the folder's base file.
        recorded: The hashes in the folder's base file.

    Raises:
        AdministrationError: If the flag is neither of these, or a daemon has applied another
            version.
        PublishError: If the history in the store does not reach back to the version.
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
            message = f"the daemon has applied version {version}, not {base}"
            raise AdministrationError(ErrorCode.VERSION_UNKNOWN, message, "pull, then publish")
        return hashes
    head, _ = read_head(target.store)
    return read_service_hashes(target.store, head, int(base)) if head is not None else {}


def send_publish(target: Target, change_set: ChangeSet, team: str) -> ChangeResponse:
    """Publish a change set through the store or a daemon.

    Args:
        target: The store or the daemon to publish to.
        change_set: The services to set or the service to remove.
        team: The team whose token is sent to a daemon.
    """
    if target.store is not None:
        head = publish(target.store, change_set, datetime.now(UTC), _wait_before_retry)
        return ChangeResponse(head.version, change_set.publish_id)
    if change_set.removed:
        (service,) = change_set.removed
        body = RemoveRequest(change_set.publish_id, team, service)
        return send_change(target.daemon, "/v1/remove", body, target.token, ChangeResponse)
    files = [msgspec.Raw(encode_service_file(file)) for file in change_set.services.values()]
    base = None if change_set.base is None else dict(change_set.base)
    publish_body = PublishRequest(change_set.publish_id, team, files, base)
    return send_change(target.daemon, "/v1/publish", publish_body, target.token, ChangeResponse)


def send_undo(target: Target, publish_id: str, version: int, team: str) -> ChangeResponse:
    """Undo the changes of one version, through the store or a daemon.

    Args:
        target: The store or the daemon to publish to.
        publish_id: The identifier of the new publish.
        version: The version to undo.
        team: The team whose token is sent to a daemon.
    """
    if target.store is not None:
        change_set = plan_undo(target.store, publish_id, version)
        return send_publish(target, change_set, team)
    body = UndoRequest(publish_id, team, version)
    return send_change(target.daemon, "/v1/undo", body, target.token, ChangeResponse)


def make_publish_id() -> str:
    """Return a new unique identifier for a publish."""
    return f"publish-{uuid.uuid4().hex}"


def _read_token(token_file: str) -> str:
    if not token_file:
        return os.environ.get(TOKEN_VARIABLE, "")
    try:
        return Path(token_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"--token-file {token_file}: {error}"
        raise AdministrationError(ErrorCode.FILE_UNREADABLE, message) from error


def _wait_before_retry(attempt: int) -> None:
    time.sleep(RETRY_DELAY_S * attempt)
