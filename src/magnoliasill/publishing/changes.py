"""Changes that teams ask for at the administration port: publish, remove and undo."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from ..codes import ErrorCode, LogEvent
from ..errors import AdministrationError, MagnoliasillError
from ..versions.service_file import decode_service_file
from .publisher import ChangeSet, plan_undo, publish
from .teams import check_token

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import datetime

    from ..store import StoreFunction
    from ..versions.manifest import Head

MAX_CHANGES_IN_PROGRESS = 4
MAX_CHANGE_BYTES = 2_000_000
BEARER = "Bearer "


@attrs.frozen
class PublishRequest:
    """The body of `POST /v1/publish`.

    Attributes:
        publish_id: Made by the asker, to recognise a repeated request.
        team: The team that publishes.
        services: Service files in the stored form.
        base: The hash of each service that the asker started from, or null to replace whatever
            is accepted.
    """

    publish_id: str
    team: str
    services: list[msgspec.Raw]
    base: dict[str, str] | None


@attrs.frozen
class RemoveRequest:
    """The body of `POST /v1/remove`."""

    publish_id: str
    team: str
    service: str


@attrs.frozen
class UndoRequest:
    """The body of `POST /v1/undo`."""

    publish_id: str
    team: str
    version: int


@attrs.frozen
class ChangeResponse:
    """The answer to an accepted change."""

    version: int
    publish_id: str


@attrs.define
class ChangeContext:
    """What carrying out changes needs.

    Attributes:
        store: Performs requests to the platform's store.
        clock: Returns the present, with a UTC offset.
        pause: Called with the number of the attempt before each further attempt.
        log: Writes one log event.
        in_progress: Changes that are being carried out.
    """

    store: StoreFunction
    clock: Callable[[], datetime]
    pause: Callable[[int], None]
    log: Callable[..., None]
    in_progress: int = 0


_REQUESTS: dict[str, type] = {
    "/v1/publish": PublishRequest,
    "/v1/remove": RemoveRequest,
    "/v1/undo": UndoRequest,
}


def handle_change(
    context: ChangeContext, path: str, authorization: str, body: bytes
) -> ChangeResponse:
    """Check the team's token, then have the change accepted by the store.

    Args:
        context: What carrying out changes needs.
        path: `/v1/publish`, `/v1/remove` or `/v1/undo`.
        authorization: The Authorization header.
        body: The JSON body.

    Returns:
        The accepted version.

    Raises:
        AdministrationError: If the body is malformed, the token is not the team's, or enough
            changes are in progress.
        MagnoliasillError: As `publish` raises.
    """
    if context.in_progress >= MAX_CHANGES_IN_PROGRESS:
        message = f"{context.in_progress} changes are in progress"
        raise AdministrationError(ErrorCode.ADMIN_BUSY, message)
    context.in_progress += 1
    try:
        request = _decode(body, _REQUESTS[path])
        head = _accept(context, request, authorization)
    finally:
        context.in_progress -= 1
    fields = {"team": request.team, "version": head.version, "publish_id": request.publish_id}
    context.log(LogEvent.CHANGE_ACCEPTED, **fields)
    return ChangeResponse(head.version, request.publish_id)


def _accept(context: ChangeContext, request: Any, authorization: str) -> Head:
    try:
        check_token(context.store, request.team, authorization.removeprefix(BEARER))
        return publish(context.store, _plan(context, request), context.clock(), context.pause)
    except MagnoliasillError as error:
        fields = {"team": request.team[:63], "code": error.code.value, "reason": error.message}
        context.log(LogEvent.CHANGE_REFUSED, **fields)
        raise


def _plan(context: ChangeContext, request: Any) -> ChangeSet:
    identity, team = request.publish_id, request.team
    match request:
        case UndoRequest(version=version):
            return plan_undo(context.store, identity, version, team)
        case RemoveRequest(service=service):
            return ChangeSet(identity, {}, None, frozenset({service}), team)
    files = [decode_service_file(bytes(raw)) for raw in request.services]
    services = {file.service: file for file in files}
    if not services or len(services) != len(files):
        message = "services must name each service once, and at least one"
        raise AdministrationError(ErrorCode.REQUEST_INVALID, message)
    return ChangeSet(identity, services, request.base, team=team)


def _decode(body: bytes, kind: type) -> Any:
    try:
        request = msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise AdministrationError(ErrorCode.REQUEST_INVALID, str(error)[:200]) from error
    if not request.publish_id:
        raise AdministrationError(ErrorCode.REQUEST_INVALID, "publish_id must not be empty")
    return request
