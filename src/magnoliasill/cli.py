"""The operators' command-line tool."""

from __future__ import annotations

import os
import sys
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import attrs
import fire
import msgspec
import urllib3

from .codes import ErrorCode
from .errors import AdministrationError, MagnoliasillError
from .manifest import check_deadlines, check_services
from .publisher import Publish, collect_services, publish, read_head
from .store import StoreFunction, connect_store

EXIT_FAILED = 1
STORE_VARIABLE = "MAGNOLIASILL_STORE"
STORE_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.2
ADMIN_TIMEOUT_S = 5.0


def check(folder: str, json: bool = False) -> str:
    """Check every service file of a folder without publishing.

    Args:
        folder: The folder with the service files.
        json: Print JSON.
    """
    services = collect_services(Path(folder))
    check_services(services)
    check_deadlines(services, datetime.now(UTC))
    text = f"{len(services)} services are acceptable: {', '.join(sorted(services))}"
    return _format({"services": sorted(services)}, text, json)


def publish_folder(folder: str, store: str = "", publish_id: str = "", json: bool = False) -> str:
    """Publish every service file of a folder.

    Args:
        folder: The folder with the service files.
        store: Address of the platform's store.
        publish_id: Identifier of an earlier try whose outcome is unknown.
        json: Print JSON.
    """
    services = collect_services(Path(folder))
    perform = _connect(store)
    base, _ = read_head(perform)
    request = Publish(publish_id or uuid.uuid4().hex, services, base)
    head = publish(perform, request, datetime.now(UTC), _pause)
    text = f"accepted as version {head.version} (publish {request.publish_id})"
    return _format({"version": head.version, "publish_id": request.publish_id}, text, json)


def status(store: str = "", json: bool = False) -> str:
    """Show the accepted configuration.

    Args:
        store: Address of the platform's store.
        json: Print JSON.
    """
    head, _ = read_head(_connect(store))
    if head is None:
        return _format({"version": 0}, "nothing has been published", json)
    data = attrs.asdict(head)
    lines = [f"version {head.version}, publish {head.publish_id}"]
    lines += [f"  {name} {digest}" for name, digest in sorted(head.services.items())]
    return _format(data, "\n".join(lines), json)


def dump(address: str) -> str:
    """Print the state of a daemon.

    Args:
        address: The daemon's administration address, `ip:port`.
    """
    url = f"http://{address}/v1/state"
    try:
        response = urllib3.request("GET", url, timeout=ADMIN_TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as error:
        message = f"{address}: {error}"
        raise AdministrationError(ErrorCode.ADMIN_UNREACHABLE, message) from error
    return msgspec.json.format(response.data, indent=2).decode()


COMMANDS = {"check": check, "publish": publish_folder, "status": status, "dump": dump}


def main() -> None:
    """Run one command; the exit status is 0 only when it succeeded."""
    try:
        fire.Fire(COMMANDS, name="magnoliasill")
    except MagnoliasillError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _connect(store: str) -> StoreFunction:
    url = store or os.environ.get(STORE_VARIABLE, "")
    if not url.startswith("http://"):
        message = f"--store ({STORE_VARIABLE}) is {url!r}: must start with http://"
        raise AdministrationError(ErrorCode.SETTING_INVALID, message)
    return connect_store(url.rstrip("/"), STORE_TIMEOUT_S)


def _pause(attempt: int) -> None:
    time.sleep(RETRY_PAUSE_S * attempt)


def _format(data: dict[str, Any], text: str, as_json: bool) -> str:
    return msgspec.json.encode(data).decode() if as_json else text
