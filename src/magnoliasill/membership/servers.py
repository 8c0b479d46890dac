"""The index of backend servers by service and release, rebuilt when membership changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..core.messages import MemberRecord
    from ..core.node import Node

MAX_AGE_S = 0.5


@attrs.frozen
class Position:
    """The place of a daemon among those of its data centre, in the order of their names."""

    number: int = 0
    count: int = 1


@attrs.frozen
class ServerGroup:
    """The backend servers of one release that take new work, by daemon name.

    Attributes:
        local: Those of the own data centre, that of the own VM included.
        remote: Those of other data centres.
    """

    local: list[MemberRecord] = attrs.field(factory=list)
    remote: list[MemberRecord] = attrs.field(factory=list)


EMPTY_GROUP = ServerGroup()


@attrs.define
class ServerIndex:
    """Groups of backend servers, valid for one revision of the membership.

    Attributes:
        groups: Groups by service and release.
        position: The own daemon's place in its data centre.
        revision: The revision of the membership that the groups show.
        built_at: When they were built, in seconds of the node's clock.
    """

    groups: dict[tuple[str, str], ServerGroup] = attrs.field(factory=dict)
    position: Position = attrs.field(factory=Position)
    revision: int = -1
    built_at: float = 0.0


def find_group(
    index: ServerIndex, node: Node, service: str, release: str, now: float
) -> ServerGroup:
    """Return the backend servers of a release.

    Args:
        index: The index; it is rebuilt if the membership has changed or it has become old.
        node: The node's tables.
        service: The service's name.
        release: The release's name.
        now: Seconds of the node's clock.
    """
    if index.revision != node.members_revision or not 0 <= now - index.built_at < MAX_AGE_S:
        build_index(index, node, now)
    return index.groups.get((service, release), EMPTY_GROUP)


def build_index(index: ServerIndex, node: Node, now: float) -> None:
    """Build every group anew from the members."""
    groups: dict[tuple[str, str], ServerGroup] = {}
    own_place = node.own.data_centre
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
        (group.local if record.data_centre == own_place else group.remote).append(record)
    for group in groups.values():
        group.local.sort(key=_name_of)
        group.remote.sort(key=_name_of)
    index.groups = groups
    index.position = _find_position(node, records)
    index.revision = node.members_revision
    index.built_at = now


def list_addresses(index: ServerIndex) -> set[str]:
    """Return the addresses of all backend servers that take new work."""
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


def _name_of(record: MemberRecord) -> str:
    return record.name
