"""Reports of a daemon for the administration port: state dump, members and services."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from ..calls.dispatch import list_tracked_upstreams
from ..claims.claim_recording import count_records
from ..versions.service_file import encode_service_file

if TYPE_CHECKING:
    from ..calls.proxy_state import Proxy
    from ..core.node import Node


def dump_state(proxy: Proxy) -> dict[str, Any]:
    """Return the state of a daemon as JSON-compatible data."""
    node = proxy.node
    applied = node.configuration.applied
    return {
        "own": attrs.asdict(node.own),
        "version": node.configuration.version,
        "applied_at": node.configuration.applied_at,
        "head": attrs.asdict(applied.head) if applied is not None else None,
        "members": [attrs.asdict(member.record) for member in node.members.values()],
        "relay_slot": node.relay.slot,
        "store_available": node.store_available,
        "open_calls": proxy.open_calls,
        "upstreams": [attrs.asdict(entry) for entry in list_tracked_upstreams(proxy.dispatcher)],
        "claims": _count_claims(node),
        "suspect_requests": len(node.crashes.suspects),
    }


def _count_claims(node: Node) -> dict[str, Any]:
    ranges = {
        str(claim_range.number): claim_range.phase.value
        for claim_range in node.claims.ranges.values()
    }
    own = Counter(claim.status.value for claim in node.claims.own.values())
    return {"ranges": ranges, "records": count_records(node), "own": own}


def list_members(node: Node) -> list[dict[str, Any]]:
    """Return the records of all members, starting with the daemon itself."""
    records = [node.own]
    records += [member.record for _, member in sorted(node.members.items())]
    return [attrs.asdict(record) for record in records]


def list_services(node: Node) -> dict[str, Any]:
    """Return the active configuration version, its hashes and its service files as stored."""
    applied = node.configuration.applied
    if applied is None:
        return {"version": 0, "hashes": {}, "services": []}
    files = [encode_service_file(file).decode() for file in applied.services.values()]
    return {"version": applied.head.version, "hashes": applied.head.services, "services": files}
