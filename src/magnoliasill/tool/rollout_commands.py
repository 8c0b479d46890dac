"""The command that shows the progress of takeovers and why they ended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..core.actions import StoreRead
from ..errors import AdministrationError
from ..publishing.command_targets import connect_platform_store
from ..takeovers.plans import Phase
from ..takeovers.records import RECORD_PREFIX, Record, decode_record, name_record_key
from .publishing_commands import format_output

if TYPE_CHECKING:
    from ..store import StoreFunction
    from ..takeovers.records import RouteReport


def rollouts(service: str = "", store: str = "", json: bool = False) -> str:
    """Show the takeovers that the platform's store holds, or one with its evidence.

    Args:
        service: The service's name, or empty for all.
        store: Address of the platform's store.
        json: Print JSON.
    """
    records = read_records(connect_platform_store(store), str(service))
    if service and not records:
        raise AdministrationError(ErrorCode.TAKEOVER_UNKNOWN, f"no takeover of {service}")
    now = time.time()
    lines = [line for record in records for line in describe_record(record, now, bool(service))]
    data = msgspec.to_builtins([attrs.asdict(record) for record in records])
    return format_output(data, "\n".join(lines) or "no takeover is recorded", json)


def read_records(store: StoreFunction, service: str = "") -> list[Record]:
    """Read the takeover record of one service or all records; skip those that can't be decoded."""
    if service:
        answer = store(StoreRead("rollouts", keys=(name_record_key(service),)))
    else:
        answer = store(StoreRead("rollouts", prefix=RECORD_PREFIX))
    decoded = [decode_record(entry.value) for entry in answer.entries if entry.revision]
    return [record for record in decoded if record is not None]


def describe_record(record: Record, now: float, detailed: bool) -> list[str]:
    """Return the lines of text that describe a takeover.

    Args:
        record: The record.
        now: Seconds since the epoch.
        detailed: Whether to list the evidence, the routes with too few calls and the controller.
    """
    progress = record.progress
    trial_share, other_share = record.share
    line = f"{record.service}  {record.from_release} -> {record.to_release}  {progress.phase.value}"
    if progress.phase is Phase.RUNNING:
        remaining_s = max(0.0, record.finish_by - now)
        line += f"  share {trial_share:.1%} in {progress.trial or '-'}, {other_share:.1%} elsewhere"
        line += f"  {remaining_s:.0f} s left"
    lines = [f"{line}  ({progress.reason or 'not started'})"]
    if detailed:
        lines += [_describe_route(name, route) for name, route in sorted(record.evidence.items())]
        lines += [f"  too few calls to judge: {text}" for text in record.untested]
        lines.append(f"  controller {record.holder}, generation {record.generation}")
    return lines


def _describe_route(name: str, route: RouteReport) -> str:
    old_calls = route.calls - route.new_calls
    return (
        f"  {name}: new {route.new_calls} calls, {route.new_failures} failed, "
        f"{route.new_slow} slow; old {old_calls} calls, {route.old_failures} failed, "
        f"{route.old_slow} slow; evidence against it {route.score:g}"
    )
