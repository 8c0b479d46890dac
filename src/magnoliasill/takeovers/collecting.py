"""Collecting: the evidence on its way from the daemons to the tests, and the local stop.

Each daemon sends its sums to the collectors of its data centre. Sums only grow, so a report that
is lost, late or doubled changes nothing: the latest one counts. A collector tests the sums of its
data centre, may lower the share or take the release back by itself, and passes the sums on to the
controller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.actions import SendMessage
from ..core.messages import EvidenceReport, EvidenceSummary
from ..core.node import list_alive
from ..spreading.duties import rank_collectors
from .evidence import Cell, Counts, Finding, reset_levels, seed_tester, update_tester
from .plans import Phase
from .rollout import Verdict, apply_decision, is_adjusting, judge
from .spread_progress import adopt_progress, find_takeover
from .takeovers import WINDOW_S, Collection, Counted, Takeover
from .tally import FIELDS, NEW_OFFSET

if TYPE_CHECKING:
    from ..core.actions import Action
    from ..core.node import Node
    from .evidence import RouteEvidence

REPORT_INTERVAL_S = 0.5
REPORT_INTERVAL_PER_DAEMON_S = 0.04
PROMPT_INTERVAL_S = 0.2
PROMPT_INTERVAL_PER_DAEMON_S = 0.01
COLLECTOR_SILENT_S = 2.0


def tick_collecting(node: Node, now: float, takeover: Takeover) -> list[Action]:
    """Report the node's sums, and test those of its data centre, as it is due.

    Args:
        node: The node's tables.
        now: Seconds since the epoch.
        takeover: The takeover.
    """
    if takeover.progress.phase is not Phase.RUNNING:
        return []
    actions = _report(node, now, takeover)
    collected = takeover.collected
    if collected.sources and now >= collected.window_at:
        collected.window_at = now + WINDOW_S
        actions += _close_window(node, now, takeover)
    return actions


def receive_report(node: Node, now: float, report: EvidenceReport) -> list[Action]:
    """Keep the latest sums of a daemon of the own data centre."""
    takeover = find_takeover(node, report.takeover_id)
    if takeover is not None and report.data_centre == node.own.data_centre:
        keep_counts(takeover, takeover.collected, report, now)
    return []


def receive_evidence(node: Node, now: float, summary: EvidenceSummary) -> list[Action]:
    """Keep the sums of one collector for each data centre, if this node is the controller."""
    takeover = find_takeover(node, summary.takeover_id)
    if takeover is None or not takeover.control.holding:
        return []
    control = takeover.control
    sources = control.collection.sources
    known = control.chosen.get(summary.data_centre)
    if known != summary.origin:
        entry = sources.get(known or "")
        if entry is not None and now < entry.heard_at + COLLECTOR_SILENT_S:
            return []
        sources.pop(summary.origin, None)
        control.chosen[summary.data_centre] = summary.origin
    keep_counts(takeover, control.collection, summary, now, seeds=known is None)
    return []


def keep_counts(
    takeover: Takeover,
    collection: Collection,
    message: EvidenceReport | EvidenceSummary,
    now: float,
    seeds: bool = True,
) -> None:
    """Keep sums if they are the latest of their sender.

    Args:
        takeover: The takeover.
        collection: Where they are kept.
        message: The sums.
        now: Seconds since the epoch.
        seeds: Whether sums whose beginning was not heard count as the past.
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
    first = message.sequence == 1 or known is not None
    tested = [0] * len(message.counts) if first else list(message.counts)
    entry = Counted(message.incarnation, message.sequence, message.counts, tested, now)
    collection.sources[message.origin] = entry
    if not first and seeds:
        seed_tester(collection.tester, build_cells(takeover, message.data_centre, tested))


def take_untested(entry: Counted) -> list[int]:
    """Return the sums that the tests have not seen, and mark them as seen."""
    pairs = zip(entry.counts, entry.tested, strict=True)
    delta = [max(0, count - tested) for count, tested in pairs]
    entry.tested = list(entry.counts)
    return delta


def build_cells(takeover: Takeover, data_centre: str, counts: list[int]) -> list[Cell]:
    """Return sums as cells, those without a call left out."""
    cells = []
    for route, offset in takeover.tally.offsets.items():
        old = Counts(*counts[offset : offset + NEW_OFFSET])
        new = Counts(*counts[offset + NEW_OFFSET : offset + FIELDS])
        if old.calls or new.calls:
            cells.append(Cell(data_centre, route, old, new))
    return cells


def judge_locally(
    node: Node, now: float, takeover: Takeover, collection: Collection, finding: Finding
) -> list[Action]:
    """Lower the share or take the release back at once if the tests say so."""
    decision = judge(takeover.plan, takeover.progress, now, finding)
    if is_adjusting(takeover.progress, now):
        reset_levels(collection.tester)
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


def _report(node: Node, now: float, takeover: Takeover) -> list[Action]:
    tally = takeover.tally
    if now < takeover.report_at or not any(tally.counts):
        return []
    daemons = len(list_alive(node, node.own.data_centre)) + 1
    interval = max(REPORT_INTERVAL_S, daemons * REPORT_INTERVAL_PER_DAEMON_S)
    prompt = max(PROMPT_INTERVAL_S, daemons * PROMPT_INTERVAL_PER_DAEMON_S)
    due = takeover.report_at + interval - prompt
    if tally.counts == takeover.reported or (now < due and not tally.failed):
        return []
    takeover.report_at = now + prompt * node.random.uniform(0.8, 1.2)
    takeover.sequence += 1
    takeover.reported = list(tally.counts)
    tally.failed = False
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
            keep_counts(takeover, takeover.collected, report, now)
        else:
            actions.append(SendMessage(record.peer_address, report))
    return actions


def _close_window(node: Node, now: float, takeover: Takeover) -> list[Action]:
    collected = takeover.collected
    delta = [0] * len(takeover.tally.counts)
    for entry in collected.sources.values():
        delta = [a + b for a, b in zip(delta, take_untested(entry), strict=True)]
    cells = build_cells(takeover, node.own.data_centre, delta)
    if not cells:
        return []
    finding = update_tester(collected.tester, cells)
    actions = judge_locally(node, now, takeover, collected, finding)
    return actions + _summarize(node, now, takeover)


def _summarize(node: Node, now: float, takeover: Takeover) -> list[Action]:
    collected = takeover.collected
    collected.sequence += 1
    counts = [0] * len(takeover.tally.counts)
    for entry in collected.sources.values():
        counts = [a + b for a, b in zip(counts, entry.tested, strict=True)]
    own = node.own
    summary = EvidenceSummary(
        takeover.plan.takeover_id,
        own.name,
        own.data_centre,
        takeover.tally.incarnation,
        collected.sequence,
        counts,
    )
    if takeover.control.holding:
        return receive_evidence(node, now, summary)
    member = node.members.get(takeover.controller)
    return [SendMessage(member.record.peer_address, summary)] if member is not None else []
