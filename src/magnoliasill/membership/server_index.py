"""Index of the backend servers by service and release, rebuilt when the membership changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..core.messages import MemberRecord
    from ..core.node import Node

MAX_AGE_S = 0.5


@attrs.frozen
class Position:
    """The position of a daemon among the live daemons of its data centre, sorted by name.

    Attributes:
        number: The daemon's index, from 0.
        count: The number of these daemons.
    """

    number: int = 0
    count: int = 1


@attrs.frozen
class ServerGroup:
    """The backend servers of one release that accept new requests, sorted by daemon name.

    Attributes:
        local: Servers in this data centre, including the one on this VM.
        remote: Servers in other data centres.
    """

    local: list[MemberRecord] = attrs.field(factory=list)
    remote: list[MemberRecord] = attrs.field(factory=list)


EMPTY_GROUP = ServerGroup()


@attrs.define
class ServerIndex:
    """The groups of backend servers at one revision of the membership.

    Attributes:
        groups: Groups by service and release.
        position: This daemon's position in its data centre.
        revision: The membership revision from which the index was built.
        built_at: When the index was built, in seconds of the node's clock.
    """

    groups: dict[tuple[str, str], ServerGroup] = attrs.field(factory=dict)
    position: Position = attrs.field(factory=Position)
    revision: int = -1
    built_at: float = 0.0


def find_group(
    index: ServerIndex, node: Node, service: str, release: str, now: float
) -> ServerGroup:
    """Return the backend servers of a release that accept new requests.

    Args:
        index: The index; rebuilt if the membership has changed or the index is too old.
        node: The node's state.
        service: The service's name.
        release: The release's name.
        now: Seconds of the node's clock.
    """
    if index.revision != node.members_revision or not 0 <= now - index.built_at < MAX_AGE_S:
        build_index(index, node, now)
    return index.groups.get((service, release), EMPTY_GROUP)


def build_index(index: ServerIndex, node: Node, now: float) -> None:
    """Rebuild all groups and this daemon's position from the member table."""
    groups: dict[tuple[str, str], ServerGroup] = {}
    own_data_centre = node.own.data_centre
    records = [node.own, *(member.record for member in node.members.values())]
    for record in records:
        if not record.serving or record.status != "alive":
            continue
        if record.data_centre in node.silent:
            continue
        key = (record.service, record.release)
        group = groups.get(key)
        if group is None:
            group = groups[key] = ServerGroup()
        (group.local if record.data_centre == own_data_centre else group.remote).append(record)
    for group in groups.values():
        group.local.sort(key=_get_name)
        group.remote.sort(key=_get_name)
    index.groups = groups
    index.position = _find_position(node, records)
    index.revision = node.members_revision
    index.built_at = now


def list_addresses(index: ServerIndex) -> set[str]:
    """Return the addresses of all indexed backend servers."""
    return {
        record.server_address
        for group in index.groups.values()
        for record in (*group.local, *group.remote)
    }


def _find_position(node: Node, records: list[MemberRecord]) -> Position:
    own = node.own
    names = [
        record.name
        for record in records
        if record.data_centre == own.data_centre and record.status in ("alive", "suspect")
    ]
    return Position(sum(name < own.name for name in names), max(len(names), 1))


def _get_name(record: MemberRecord) -> str:
    return record.name
