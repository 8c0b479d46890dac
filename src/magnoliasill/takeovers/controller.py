"""The controller of a takeover: the only daemon that may raise the traffic share.

The controller is elected by a lease in the platform's store. A new controller writes a higher
generation into the takeover's record by compare-and-swap, so that writes of an earlier controller
fail on the record's revision. A raise takes effect only after its own compare-and-swap succeeded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import LogEvent
from ..core.actions import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Log,
    SendMessage,
    StoreRead,
    StoreWrite,
)
from ..spreading.collectors import rank_collectors
from .collecting import apply_local_decision, build_cells, consume_untested, tick_collecting
from .evidence import Tester, find_strongest, update_tester
from .plans import Phase
from .progress_gossip import adopt_progress, build_news, compare_progress, find_takeover
from .ramp import compute_boosts
from .records import Record, build_record, decode_record, name_lease_key, name_record_key
from .rollout import Verdict, apply_decision, decide, raise_share
from .shares import update_takeovers
from .takeovers import WINDOW_S, EvidenceCollection

if TYPE_CHECKING:
    from ..core.actions import Action
    from ..core.events import StoreAnswered, StoreFailed
    from ..core.node import Node
    from .plans import Progress
    from .rollout import Decision
    from .takeovers import Takeover

LEASE_TTL_MS = 3_000
RENEW_INTERVAL_S = 1.0
CONTROLLER_SILENT_S = 3.0  # before the first-ranked collector claims control; others wait longer
CLAIM_INTERVAL_S = 2.0
NEWS_INTERVAL_S = 1.0
RECORD_INTERVAL_S = 5.0
PURPOSE_PREFIX = "takeover-"


def tick_takeovers(node: Node, now: float) -> list[Action]:
    """Advance every takeover of the applied configuration.

    Args:
        node: The node's state.
        now: Seconds since the epoch.
    """
    update_takeovers(node, now)
    actions: list[Action] = []
    for takeover in list(node.takeovers.active.values()):
        actions += tick_collecting(node, now, takeover)
        actions += compare_progress(node, now, takeover)
        actions += tick_controller(node, now, takeover)
    return actions


def tick_controller(node: Node, now: float, takeover: Takeover) -> list[Action]:
    """Claim control of a takeover, renew the lease, or act as the controller, whichever is due.

    Args:
        node: The node's state.
        now: Seconds since the epoch.
        takeover: The takeover.
    """
    control = takeover.control
    if control.holding and now >= control.lease_until:
        return _lose_control(node, now, takeover)
    if not control.holding:
        return _claim_control(node, now, takeover)
    if _is_finished(takeover):
        return _release_control(node, takeover)
    actions = _renew(now, takeover) + _notify_collectors(node, now, takeover)
    if now >= control.collection.window_at:
        control.collection.window_at = now + WINDOW_S
        actions += _evaluate(node, now, takeover)
    return actions + _store_progress(node, now, takeover)


def receive_control_answer(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    """Continue a claim, a write or a renewal after an answer from the platform's store."""
    step, _, takeover_id = answer.purpose.partition("/")
    takeover = find_takeover(node, takeover_id)
    handle = _STEPS.get(step)
    if takeover is None or handle is None:
        return []
    if step == RENEW:
        takeover.control.renewal_pending = False
    else:
        takeover.control.request_pending = False
    return handle(node, now, takeover, answer)


def receive_control_failure(node: Node, now: float, failure: StoreFailed) -> list[Action]:
    """Retry a failed store request later, or read the record if a write's outcome is unknown."""
    step, _, takeover_id = failure.purpose.partition("/")
    takeover = find_takeover(node, takeover_id)
    if takeover is None or step not in _STEPS:
        return []
    control = takeover.control
    if step == RENEW:
        control.renewal_pending = False
        return []
    control.request_pending = False
    control.claim_at = now + CLAIM_INTERVAL_S
    if step == WRITE and failure.unknown:
        return [_read_record(takeover)]
    if step == WRITE:
        control.proposed = None
    elif step == READ and control.proposed is not None:
        return [_read_record(takeover)] if now < control.lease_until else []
    return []


def _claim_control(node: Node, now: float, takeover: Takeover) -> list[Action]:
    control = takeover.control
    if now < control.claim_at or control.request_pending or takeover.stored:
        return []
    own = node.own
    ranked = [r.name for r in rank_collectors(node, takeover.plan.service, own.data_centre)]
    if own.name not in ranked:
        return []
    silent_s = CONTROLLER_SILENT_S * (1 + ranked.index(own.name))
    if takeover.controller != own.name and now < takeover.controller_at + silent_s:
        return []
    control.claim_at = now + CLAIM_INTERVAL_S * node.random.uniform(0.5, 1.5)
    control.lease_requested_at, control.request_pending = now, True
    return [LeaseGrant(_build_purpose(GRANT, takeover), LEASE_TTL_MS)]


def _receive_grant(
    node: Node, now: float, takeover: Takeover, answer: StoreAnswered
) -> list[Action]:
    control = takeover.control
    control.lease = answer.lease
    control.lease_until = control.lease_requested_at + LEASE_TTL_MS / 1000
    control.request_pending = True
    key = name_lease_key(takeover.plan.service)
    value = node.own.name.encode()
    return [StoreWrite(_build_purpose(CLAIM, takeover), key, value, 0, control.lease)]


def _receive_claim(
    node: Node, now: float, takeover: Takeover, answer: StoreAnswered
) -> list[Action]:
    control = takeover.control
    if not answer.succeeded or now >= control.lease_until:
        return [LeaseRevoke(_build_purpose(REVOKE, takeover), control.lease)]
    control.proposed = None
    return [_read_record(takeover)]


def _receive_record(
    node: Node, now: float, takeover: Takeover, answer: StoreAnswered
) -> list[Action]:
    control = takeover.control
    entry = answer.entries[0]
    record = decode_record(entry.value)
    if now >= control.lease_until:
        return []
    if control.proposed is not None:
        return _resolve_unknown_write(node, now, takeover, record, entry.revision)
    control.revision = entry.revision
    control.generation = (record.generation if record is not None else 0) + 1
    actions: list[Action] = []
    if record is not None and record.progress.takeover_id == takeover.plan.takeover_id:
        actions = adopt_progress(node, now, takeover, record.progress)
    return [*actions, _write(node, now, takeover, takeover.progress)]


def _resolve_unknown_write(
    node: Node, now: float, takeover: Takeover, record: Record | None, revision: int
) -> list[Action]:
    control = takeover.control
    if record is not None and revision != control.revision:
        is_own = record.holder == node.own.name and record.generation == control.generation
        if is_own and record.progress == control.proposed:
            return _finish_write(node, now, takeover, revision)
        return _lose_control(node, now, takeover)
    control.proposed = None
    return []


def _receive_write(
    node: Node, now: float, takeover: Takeover, answer: StoreAnswered
) -> list[Action]:
    if takeover.control.proposed is None:
        return []
    if not answer.succeeded:
        return _lose_control(node, now, takeover)
    return _finish_write(node, now, takeover, answer.entries[0].revision)


def _finish_write(node: Node, now: float, takeover: Takeover, revision: int) -> list[Action]:
    control = takeover.control
    progress, control.proposed = control.proposed, None
    control.revision, control.recorded = revision, progress
    if progress is None:
        return []
    actions: list[Action] = []
    if not control.holding and now < control.lease_until:
        control.holding = True
        control.collection = EvidenceCollection(Tester(control.collection.tester.windows))
        control.chosen_collectors = {}
        control.renew_at = now
        fields = {"service": takeover.plan.service, "generation": control.generation}
        actions.append(Log(LogEvent.CONTROL_ACQUIRED, fields))
    actions += adopt_progress(node, now, takeover, progress)
    takeover.stored = takeover.progress == progress and progress.phase is not Phase.RUNNING
    return actions


def _receive_renewal(
    node: Node, now: float, takeover: Takeover, answer: StoreAnswered
) -> list[Action]:
    control = takeover.control
    if not control.holding:
        return []
    if not answer.succeeded:
        return _lose_control(node, now, takeover)
    control.lease_until = control.lease_requested_at + LEASE_TTL_MS / 1000
    return []


def _ignore_answer(
    node: Node, now: float, takeover: Takeover, answer: StoreAnswered
) -> list[Action]:
    return []


def _renew(now: float, takeover: Takeover) -> list[Action]:
    control = takeover.control
    if now < control.renew_at or control.renewal_pending:
        return []
    control.renew_at = now + RENEW_INTERVAL_S
    control.lease_requested_at, control.renewal_pending = now, True
    return [LeaseKeepAlive(_build_purpose(RENEW, takeover), control.lease)]


def _notify_collectors(node: Node, now: float, takeover: Takeover) -> list[Action]:
    control = takeover.control
    if now < control.news_at:
        return []
    control.news_at = now + NEWS_INTERVAL_S
    takeover.controller, takeover.controller_at = node.own.name, now
    news = build_news(node, takeover)
    data_centres = {node.own.data_centre, *(m.record.data_centre for m in node.members.values())}
    return [
        SendMessage(record.peer_address, news)
        for data_centre in sorted(data_centres)
        for record in rank_collectors(node, takeover.plan.service, data_centre)
        if record.name != node.own.name
    ]


def _evaluate(node: Node, now: float, takeover: Takeover) -> list[Action]:
    control = takeover.control
    collection = control.collection
    cells = []
    for data_centre, origin in control.chosen_collectors.items():
        if origin in collection.sources:
            cells += build_cells(
                takeover, data_centre, consume_untested(collection.sources[origin])
            )
    stage_key = (takeover.progress.number, takeover.progress.lowered)
    if stage_key != control.stage_calls_key:
        control.stage_calls_key, control.stage_calls = stage_key, 0
    control.stage_calls += sum(cell.new.calls for cell in cells)
    tester = collection.tester
    finding = update_tester(tester, cells) if cells else find_strongest(tester)
    actions = apply_local_decision(node, now, takeover, collection, finding)
    if actions or control.request_pending or control.proposed is not None:
        return actions
    decision = decide(
        takeover.plan, takeover.progress, now, finding, tester.routes, control.stage_calls
    )
    return actions + _execute_decision(node, now, takeover, decision)


def _execute_decision(
    node: Node, now: float, takeover: Takeover, decision: Decision
) -> list[Action]:
    progress = takeover.progress
    match decision.verdict:
        case Verdict.HOLD:
            return []
        case Verdict.LOWER | Verdict.REVERSE:
            return adopt_progress(node, now, takeover, apply_decision(progress, decision, now))
        case Verdict.COMPLETE:
            return [_write(node, now, takeover, apply_decision(progress, decision, now))]
    if not takeover.new_servers:
        return []
    trial = max(
        sorted(takeover.new_servers), key=lambda data_centre: takeover.new_servers[data_centre]
    )
    boosts = compute_boosts(takeover.plan, now, takeover.control.collection.tester.routes)
    return [_write(node, now, takeover, raise_share(progress, decision, now, trial, boosts))]


def _store_progress(node: Node, now: float, takeover: Takeover) -> list[Action]:
    control = takeover.control
    if control.request_pending or control.proposed is not None:
        return []
    changed = control.recorded != takeover.progress
    if not changed and now < control.record_at:
        return []
    return [_write(node, now, takeover, takeover.progress)]


def _write(node: Node, now: float, takeover: Takeover, progress: Progress) -> Action:
    control = takeover.control
    control.proposed, control.request_pending = progress, True
    control.record_at = now + RECORD_INTERVAL_S
    record = build_record(node.own.name, now, takeover, progress)
    key = name_record_key(takeover.plan.service)
    value = msgspec.json.encode(record)
    return StoreWrite(_build_purpose(WRITE, takeover), key, value, control.revision)


def _read_record(takeover: Takeover) -> Action:
    takeover.control.request_pending = True
    key = name_record_key(takeover.plan.service)
    return StoreRead(_build_purpose(READ, takeover), keys=(key,))


def _is_finished(takeover: Takeover) -> bool:
    control = takeover.control
    return takeover.stored and control.recorded == takeover.progress and not control.request_pending


def _release_control(node: Node, takeover: Takeover) -> list[Action]:
    control = takeover.control
    data_centres = {node.own.data_centre, *(m.record.data_centre for m in node.members.values())}
    news = attrs.evolve(build_news(node, takeover), stored=True)
    actions: list[Action] = [
        SendMessage(record.peer_address, news)
        for data_centre in sorted(data_centres)
        for record in rank_collectors(node, takeover.plan.service, data_centre)
        if record.name != node.own.name
    ]
    control.holding = False
    return [*actions, LeaseRevoke(_build_purpose(REVOKE, takeover), control.lease)]


def _lose_control(node: Node, now: float, takeover: Takeover) -> list[Action]:
    control = takeover.control
    was_holding, control.holding = control.holding, False
    control.proposed = control.recorded = None
    control.claim_at = now + CLAIM_INTERVAL_S
    if takeover.controller == node.own.name:
        takeover.controller = ""
    if not was_holding:
        return []
    return [Log(LogEvent.CONTROL_LOST, {"service": takeover.plan.service})]


def _build_purpose(step: str, takeover: Takeover) -> str:
    return f"{step}/{takeover.plan.takeover_id}"


GRANT = PURPOSE_PREFIX + "grant"
CLAIM = PURPOSE_PREFIX + "claim"
READ = PURPOSE_PREFIX + "read"
WRITE = PURPOSE_PREFIX + "write"
RENEW = PURPOSE_PREFIX + "renew"
REVOKE = PURPOSE_PREFIX + "revoke"
_STEPS = {
    GRANT: _receive_grant,
    CLAIM: _receive_claim,
    READ: _receive_record,
    WRITE: _receive_write,
    RENEW: _receive_renewal,
    REVOKE: _ignore_answer,
}
