"""The commands that check service files and publish, undo, pull and show the configuration."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from ..codes import ErrorCode
from ..errors import AdministrationError, PublishError, ServiceFileError
from ..publishing.base_file import read_base_file, write_base_file
from ..publishing.command_targets import (
    choose_target,
    connect_platform_store,
    make_publish_id,
    read_services,
    resolve_base,
    send_publish,
    send_undo,
)
from ..publishing.history import read_changes
from ..publishing.publisher import ChangeSet, collect_services, locate_services, read_head
from ..versions.manifest import check_finish_times, check_services, hash_blob
from ..versions.service_file import encode_service_file

if TYPE_CHECKING:
    from ..publishing.change_requests import ChangeResponse
    from ..versions.service_file import ServiceFile


def check(folder: str, json: bool = False) -> str:
    """Check every service file of a folder without publishing.

    Args:
        folder: The folder with the service files.
        json: Print JSON.
    """
    services = collect_services(Path(str(folder)))
    check_services(services)
    check_finish_times(services, datetime.now(UTC))
    text = f"{len(services)} services are acceptable: {', '.join(sorted(services))}"
    return format_output({"services": sorted(services)}, text, json)


def publish_folder(
    folder: str,
    store: str = "",
    daemon: str = "",
    team: str = "",
    token_file: str = "",
    base: str = "",
    publish_id: str = "",
    transfer: bool = False,
    json: bool = False,
) -> str:
    """Publish every service file of a folder.

    Args:
        folder: The folder with the service files.
        store: Address of the platform's store, for its administrators.
        daemon: Administration address of any daemon, for a team with its token.
        team: The team; by default the one that the files name.
        token_file: The file with the team's token; else MAGNOLIASILL_TOKEN.
        base: The version that the files started from, or `latest` to replace what is accepted;
            by default what `.magnoliasill-base` in the folder records.
        publish_id: Identifier of an earlier try whose outcome is unknown.
        transfer: Give services to the teams that the files name; with --store only.
        json: Print JSON.
    """
    path = Path(str(folder))
    services = collect_services(path)
    target = choose_target(store, daemon, token_file)
    if transfer and target.store is None:
        message = "--transfer is for administrators and needs --store"
        raise AdministrationError(ErrorCode.USAGE_INVALID, message)
    base_hashes = resolve_base(target, str(base), read_base_file(path))
    change_id = str(publish_id) or make_publish_id()
    request = ChangeSet(change_id, services, base_hashes, transfer=transfer)
    response = send_publish(target, request, team or _find_team(services))
    _record_base(path, services)
    return _format_response(response, json)


def remove(
    service: str,
    store: str = "",
    daemon: str = "",
    team: str = "",
    token_file: str = "",
    publish_id: str = "",
    json: bool = False,
) -> str:
    """Remove a service from the accepted configuration.

    Args:
        service: The service's name.
        store: Address of the platform's store, for its administrators.
        daemon: Administration address of any daemon, for a team with its token.
        team: The team, with --daemon.
        token_file: The file with the team's token; else MAGNOLIASILL_TOKEN.
        publish_id: Identifier of an earlier try whose outcome is unknown.
        json: Print JSON.
    """
    target = choose_target(store, daemon, token_file)
    change_id = str(publish_id) or make_publish_id()
    request = ChangeSet(change_id, {}, None, frozenset({str(service)}))
    return _format_response(send_publish(target, request, team), json)


def undo(
    version: int,
    store: str = "",
    daemon: str = "",
    team: str = "",
    token_file: str = "",
    publish_id: str = "",
    json: bool = False,
) -> str:
    """Take back what one version changed, as a new version.

    Args:
        version: The version whose change is taken back.
        store: Address of the platform's store, for its administrators.
        daemon: Administration address of any daemon, for a team with its token.
        team: The team, with --daemon.
        token_file: The file with the team's token; else MAGNOLIASILL_TOKEN.
        publish_id: Identifier of an earlier try whose outcome is unknown.
        json: Print JSON.
    """
    target = choose_target(store, daemon, token_file)
    if not str(version).isdecimal():
        raise AdministrationError(ErrorCode.USAGE_INVALID, f"{version!r} is not a version")
    change_id = str(publish_id) or make_publish_id()
    return _format_response(send_undo(target, change_id, int(version), team), json)


def pull(
    folder: str, store: str = "", daemon: str = "", force: bool = False, json: bool = False
) -> str:
    """Write the accepted service files into a folder and record them as its base.

    Args:
        folder: The folder; a file that was edited since its base is not overwritten.
        store: Address of the platform's store.
        daemon: Administration address of any daemon.
        force: Overwrite edited files as well.
        json: Print JSON.
    """
    path = Path(str(folder))
    version, hashes, services = read_services(choose_target(store, daemon))
    base = read_base_file(path)
    local = locate_services(path)
    local_hashes = {name: hash_blob(encode_service_file(file)) for name, (_, file) in local.items()}
    for name in sorted(services.keys() & local.keys()):
        if local_hashes[name] not in (base.get(name), hashes[name]) and not force:
            raise ServiceFileError(ErrorCode.LOCAL_EDITS, f"{local[name][0]} has local edits")
    path.mkdir(parents=True, exist_ok=True)
    for name, service in sorted(services.items()):
        if local_hashes.get(name) != hashes[name]:
            file = local[name][0] if name in local else path / f"{name}.toml"
            file.write_text(format_service(service), encoding="utf-8")
    write_base_file(path, hashes)
    text = f"version {version}: {len(services)} services in {path}"
    return format_output({"version": version, "services": sorted(services)}, text, json)


def show(service: str, store: str = "", daemon: str = "", json: bool = False) -> str:
    """Show the accepted file of one service.

    Args:
        service: The service's name.
        store: Address of the platform's store.
        daemon: Administration address of any daemon.
        json: Print JSON.
    """
    _, _, services = read_services(choose_target(store, daemon))
    file = services.get(str(service))
    if file is None:
        raise PublishError(ErrorCode.SERVICE_UNKNOWN, f"{service} is not accepted at present")
    return format_output(msgspec.to_builtins(file), format_service(file).rstrip(), json)


def status(store: str = "", daemon: str = "", json: bool = False) -> str:
    """Show the accepted configuration.

    Args:
        store: Address of the platform's store.
        daemon: Administration address of any daemon, for the version in force there.
        json: Print JSON.
    """
    version, hashes, services = read_services(choose_target(store, daemon))
    if not version:
        return format_output({"version": 0, "services": {}}, "nothing has been published", json)
    lines = [f"version {version}"]
    lines += [
        f"  {name}  team {services[name].team}  {digest}" for name, digest in sorted(hashes.items())
    ]
    return format_output({"version": version, "services": hashes}, "\n".join(lines), json)


def history(store: str = "", last: int = 10, json: bool = False) -> str:
    """Show what the latest versions changed, the newest first.

    Args:
        store: Address of the platform's store.
        last: How many versions to show.
        json: Print JSON.
    """
    store_function = connect_platform_store(store)
    head, _ = read_head(store_function)
    if head is None:
        return format_output([], "nothing has been published", json)
    oldest = max(0, head.version - int(last))
    changes = read_changes(store_function, head, range(head.version, oldest, -1))
    lines = []
    for change in changes:
        at = datetime.fromtimestamp(change.published_at, UTC).isoformat(timespec="seconds")
        names = ", ".join(sorted(change.after)) or "nothing"
        lines.append(f"version {change.version}  {at}  {change.publish_id}  changed {names}")
    return format_output([attrs.asdict(change) for change in changes], "\n".join(lines), json)


def format_output(data: Any, text: str, as_json: bool) -> str:
    """Return a command's output: the data as JSON, or the text for people."""
    return msgspec.json.encode(data).decode() if as_json else text


def format_service(service: ServiceFile) -> str:
    """Return a service as the TOML text of a service file."""
    data = msgspec.to_builtins(service, builtin_types=(datetime,))
    return msgspec.toml.encode(
        {key: value for key, value in data.items() if value is not None}
    ).decode()


def _format_response(response: ChangeResponse, as_json: bool) -> str:
    text = f"accepted as version {response.version} ({response.publish_id})"
    return format_output(attrs.asdict(response), text, as_json)


def _find_team(services: dict[str, ServiceFile]) -> str:
    return sorted(file.team for file in services.values())[0]


def _record_base(folder: Path, services: dict[str, ServiceFile]) -> None:
    hashes = {name: hash_blob(encode_service_file(file)) for name, file in services.items()}
    try:
        write_base_file(folder, hashes)
    except ServiceFileError as error:
        print(f"warning: {error}", file=sys.stderr)
