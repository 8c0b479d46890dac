"""Collection of call counts per data centre, and rollback decisions that need no controller.

Each daemon sends its cumulative counts to the collectors of its data centre. The counts never
decrease, so lost, late or duplicate reports do no harm: only the latest one is used. A collector
runs the statistical tests on the counts of its data centre, may lower the traffic share or roll
the release back on its own, and forwards the totals to the controller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.actions import SendMessage
from ..core.messages import EvidenceReport, EvidenceSummary
from ..core.node import list_alive
from ..spreading.collectors import rank_collectors
from .call_counts import COUNTS_PER_ROUTE, NEW_OFFSET
from .evidence import Cell, Counts, Finding, reset_cusum_tests, seed_tester, update_tester
from .plans import Phase
from .progress_gossip import adopt_progress, find_takeover
from .rollout import Verdict, apply_decision, decide_locally, is_lowering_pending
from .takeovers import WINDOW_S, EvidenceCollection, ReceivedCounts, Takeover

if TYPE_CHECKING:
    from ..core.actions import Action
    from ..core.node import Node
    from .evidence import RouteEvidence

REPORT_INTERVAL_S = 0.5
REPORT_INTERVAL_PER_DAEMON_S = 0.04
MIN_REPORT_INTERVAL_S = 0.2
MIN_REPORT_INTERVAL_PER_DAEMON_S = 0.01
COLLECTOR_SILENT_S = 2.0  # without a summary, until another collector replaces the chosen one


def tick_collecting(node: Node, now: float, takeover: Takeover) -> list[Action]:
    """Send the node's counts, and test those received from its data centre, when each is due.

    Args:
        node: The node's state.
        now: Seconds since the epoch.
        takeover: The takeover.
    """
    if takeover.progress.phase is not Phase.RUNNING:
        return []
    actions = _send_report(node, now, takeover)
    local_collection = takeover.local_collection
    if local_collection.sources and now >= local_collection.window_at:
        local_collection.window_at = now + WINDOW_S
        actions += _close_window(node, now, takeover)
    return actions


def receive_report(node: Node, now: float, report: EvidenceReport) -> list[Action]:
    """Record the latest counts of a daemon in this node's data centre."""
    takeover = find_takeover(node, report.takeover_id)
    if takeover is not None and report.data_centre == node.own.data_centre:
        record_counts(takeover, takeover.local_collection, report, now)
    return []


def receive_evidence(node: Node, now: float, summary: EvidenceSummary) -> list[Action]:
    """Record the totals that a collector sent, if this node is the controller.

    The totals of one chosen collector per data centre are used. Another collector of the data
    centre replaces it once it has been silent for `COLLECTOR_SILENT_S`.
    """
    takeover = find_takeover(node, summary.takeover_id)
    if takeover is None or not takeover.control.holding:
        return []
    control = takeover.control
    sources = control.collection.sources
    known = control.chosen_collectors.get(summary.data_centre)
    if known != summary.origin:
        entry = sources.get(known or "")
        if entry is not None and now < entry.heard_at + COLLECTOR_SILENT_S:
            return []
        sources.pop(summary.origin, None)
        control.chosen_collectors[summary.data_centre] = summary.origin
    record_counts(takeover, control.collection, summary, now, seed_baselines=known is None)
    return []


def record_counts(
    takeover: Takeover,
    collection: EvidenceCollection,
    message: EvidenceReport | EvidenceSummary,
    now: float,
    seed_baselines: bool = True,
) -> None:
    """Record counts if they are the latest from their sender.

    Args:
        takeover: The takeover.
        collection: The collection that they are recorded in.
        message: The report or summary that carries the counts.
        now: Seconds since the epoch.
        seed_baselines: Whether to add the counts to the baseline rates, without testing them, if
            earlier messages of a new sender were missed.
    """
    if len(message.counts) != len(takeover.tally.counts) or min(message.counts) < 0:
        return
    known = collection.sources.get(message.origin)
    if known is not None and message.incarnation == known.incarnation:
        if message.sequence > known.sequence:
            known.sequence, known.counts, known.heard_at = message.sequence, message.counts, now
        return
    if known is not None and message.incarnation < known.incarnation:
        return
    all_untested = message.sequence == 1 or known is not None
    tested = [0] * len(message.counts) if all_untested else list(message.counts)
    entry = ReceivedCounts(message.incarnation, message.sequence, message.counts, tested, now)
    collection.sources[message.origin] = entry
    if not all_untested and seed_baselines:
        seed_tester(collection.tester, build_cells(takeover, message.data_centre, tested))


def consume_untested(entry: ReceivedCounts) -> list[int]:
    """Return the counts added since the last test, and mark them as tested."""
    pairs = zip(entry.counts, entry.tested, strict=True)
    delta = [max(0, count - tested) for count, tested in pairs]
    entry.tested = list(entry.counts)
    return delta


def build_cells(takeover: Takeover, data_centre: str, counts: list[int]) -> list[Cell]:
    """Split a flat list of counts into one cell per route, without routes that had no calls."""
    cells = []
    for route, offset in takeover.tally.offsets.items():
        old = Counts(*counts[offset : offset + NEW_OFFSET])
        new = Counts(*counts[offset + NEW_OFFSET : offset + COUNTS_PER_ROUTE])
        if old.calls or new.calls:
            cells.append(Cell(data_centre, route, old, new))
    return cells


def apply_local_decision(
    node: Node, now: float, takeover: Takeover, collection: EvidenceCollection, finding: Finding
) -> list[Action]:
    """Lower the share or roll the release back at once if the tests call for it."""
    decision = decide_locally(takeover.plan, takeover.progress, now, finding)
    if is_lowering_pending(takeover.progress, now):
        reset_cusum_tests(collection.tester)
    if decision.verdict is Verdict.HOLD:
        return []
    evidence = collection.tester.routes.get(finding.route)
    if evidence is not None:
        decision = attrs.evolve(decision, reason=f"{decision.reason} ({_describe(evidence)})")
    return adopt_progress(node, now, takeover, apply_decision(takeover.progress, decision, now))


def _describe(evidence: RouteEvidence) -> str:
    old_calls = evidence.calls - evidence.new_calls
    return (
        f"new {evidence.new_failures} failed and {evidence.new_slow} slow of {evidence.new_calls},"
        f" old {evidence.old_failures} and {evidence.old_slow} of {old_calls}"
    )


def _send_report(node: Node, now: float, takeover: Takeover) -> list[Action]:
    tally = takeover.tally
    if now < takeover.report_at or not any(tally.counts):
        return []
    daemons = len(list_alive(node, node.own.data_centre)) + 1
    interval = max(REPORT_INTERVAL_S, daemons * REPORT_INTERVAL_PER_DAEMON_S)
    min_interval = max(MIN_REPORT_INTERVAL_S, daemons * MIN_REPORT_INTERVAL_PER_DAEMON_S)
    regular_at = takeover.report_at + interval - min_interval
    if tally.counts == takeover.reported or (now < regular_at and not tally.new_release_failed):
        return []
    takeover.report_at = now + min_interval * node.random.uniform(0.8, 1.2)
    takeover.sequence += 1
    takeover.reported = list(tally.counts)
    tally.new_release_failed = False
    own = node.own
    report = EvidenceReport(
        takeover.plan.takeover_id,
        own.name,
        own.data_centre,
        tally.incarnation,
        takeover.sequence,
        takeover.reported,
    )
    actions: list[Action] = []
    for record in rank_collectors(node, takeover.plan.service, own.data_centre):
        if record.name == own.name:
            record_counts(takeover, takeover.local_collection, report, now)
        else:
            actions.append(SendMessage(record.peer_address, report))
    return actions


def _close_window(node: Node, now: float, takeover: Takeover) -> list[Action]:
    local_collection = takeover.local_collection
    delta = [0] * len(takeover.tally.counts)
    for entry in local_collection.sources.values():
        delta = [a + b for a, b in zip(delta, consume_untested(entry), strict=True)]
    cells = build_cells(takeover, node.own.data_centre, delta)
    if not cells:
        return []
    finding = update_tester(local_collection.tester, cells)
    actions = apply_local_decision(node, now, takeover, local_collection, finding)
    return actions + _send_summary(node, now, takeover)


def _send_summary(node: Node, now: float, takeover: Takeover) -> list[Action]:
    local_collection = takeover.local_collection
    local_collection.sequence += 1
    counts = [0] * len(takeover.tally.counts)
    for entry in local_collection.sources.values():
        counts = [a + b for a, b in zip(counts, entry.tested, strict=True)]
    own = node.own
    summary = EvidenceSummary(
        takeover.plan.takeover_id,
        own.name,
        own.data_centre,
        takeover.tally.incarnation,
        local_collection.sequence,
        counts,
    )
    if takeover.control.holding:
        return receive_evidence(node, now, summary)
    member = node.members.get(takeover.controller)
    return [SendMessage(member.record.peer_address, summary)] if member is not None else []
