"""Forwarding: offers a request to gates until a backend server has answered it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..codes import ErrorCode, LogEvent
from ..errors import CallError
from ..mesh.hop import CALL_HEADER, REPORT_HEADER, GateReport, HopCall, decode_report, encode_note
from ..mesh.members import (
    SILENT_S,
    find_condition,
    note_closed,
    note_full,
    note_report,
    note_silence,
    note_unreachable,
)
from ..mesh.placement import Choice, choose_member, choose_release_members
from ..mesh.repeats import take_repeat
from ..mesh.returns import Pressure, choose_return, count_offered
from .bodies import LongBody
from .gate_port import pass_gate
from .state import find_takeover, find_wait_left
from .transfer import BETWEEN_VMS, BrokenError, Message, NotSentError, Reply, exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..mesh.members import Condition, Member
    from ..mesh.routes import Route
    from .state import Sidecar

MAX_OFFERS = 5  # gates asked for one request; each costs about a millisecond
ANSWER_SLACK_S = 0.05  # for an answer that is on its way at the deadline
SIZE_SMOOTHING = 0.1
RETRY_LEFT_S = 0.02  # less time than that serves no second attempt
_NO_ROOM = frozenset({"target", "deadline", "queue", "wait", "waited"})


@attrs.define
class Request:
    """One request of a caller.

    Attributes:
        identifier: The attempt's identifier.
        route: Its route.
        service: The service that takes it.
        version: The configuration by which it was routed.
        nested: Whether the VM's backend server made it while it ran another one.
        repeat: Whether that other one is itself a repeat.
        arrived_at: Seconds on the monotonic clock.
        target_at: By when an answer is worth most to its caller.
        cutoff: By when it gets its final answer.
        caller_deadline: When its caller stops waiting.
        on_start: Called before it runs at the own backend server.
        offers: Members that it was offered to, in order.
    """

    identifier: str
    route: Route
    service: str
    version: int
    nested: bool
    repeat: bool
    arrived_at: float
    target_at: float
    cutoff: float
    caller_deadline: float
    on_start: Callable[[], None] | None = None
    offers: list[str] = attrs.field(factory=list)


class OfferEnd(Enum):
    """How an offer to a gate ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


@attrs.frozen
class OfferResult:
    """The end of one offer."""

    end: OfferEnd
    reason: str = ""
    reply: Reply | None = None
    report: GateReport | None = None


@attrs.define
class _Course:
    """Where the offers of one request stand.

    Attributes:
        tried: Members that are not asked again.
        full: Members that would serve it only beyond its target.
        late: Whether it may wait beyond its target.
        tries_limited: Whether a release with a limited share may still be drawn for it.
        arrivals: Backend servers that it has reached.
        unknown: Why it may have run without an answer, or an empty string.
        refused: Why the last gate did not let it run.
        failure: A backend server's answer that says it failed.
    """

    tried: set[str] = attrs.field(factory=set)
    full: set[str] = attrs.field(factory=set)
    late: bool = False
    tries_limited: bool = True
    arrivals: int = 0
    unknown: str = ""
    refused: str = ""
    failure: Reply | None = None


def forward_request(sidecar: Sidecar, request: Request, message: Message) -> Reply:
    """Return a backend server's answer.

    Args:
        sidecar: The tables.
        request: The request.
        message: Its content.

    Raises:
        CallError: If there is none.
    """
    course = _Course()
    pressure = sidecar.pressures.setdefault(request.service, Pressure())
    count_offered(pressure, request.arrived_at)
    candidates = None
    while len(request.offers) < MAX_OFFERS and _has_time(sidecar, request):
        choice = _build_choice(sidecar, request, course)
        if candidates is None:
            candidates = choose_release_members(sidecar.members, choice, sidecar.random)
        member = choose_member(sidecar.members, candidates, choice, sidecar.random)
        if member is None:
            if course.tries_limited:
                course.tries_limited, candidates = False, None
                continue
            if course.late:
                break
            course.late = True
            course.tried -= course.full
            continue
        if not _may_offer(sidecar, request, message, course):
            break
        request.offers.append(member.name)
        result = _offer(sidecar, request, message, member, course)
        if result.end is OfferEnd.ANSWERED and not _is_worth_retry(request, result.reply):
            return result.reply
        if not _continue_after(sidecar, request, member, course, result):
            break
        if course.arrivals and course.tries_limited:  # a new release fails a request once at most
            course.tries_limited, candidates = False, None
    return _conclude(sidecar, request, course, pressure)


def _has_time(sidecar: Sidecar, request: Request) -> bool:
    return sidecar.clock() < request.cutoff - RETRY_LEFT_S and find_wait_left(sidecar) > 0


def _build_choice(sidecar: Sidecar, request: Request, course: _Course) -> Choice:
    takeover, ordered = find_takeover(sidecar, request.service)
    return Choice(
        service=request.service,
        data_centre=sidecar.settings.data_centre,
        now=sidecar.clock(),
        tried=course.tried,
        ordered=ordered,
        takeover=takeover,
        answer_bytes=sidecar.answer_bytes.get(request.route.name, 0.0),
        late=course.late,
        insistent=request.nested,
        tries_limited=course.tries_limited,
    )


def _may_offer(sidecar: Sidecar, request: Request, message: Message, course: _Course) -> bool:
    if not course.arrivals:
        return True
    if course.arrivals >= request.route.attempts:
        return False
    if isinstance(message.body, LongBody) and message.body.taken:
        return False
    daemons = max(len(sidecar.members.records), 1)
    return take_repeat(sidecar.retry_budget, request.service, daemons, sidecar.clock())


def _is_worth_retry(request: Request, reply: Reply) -> bool:
    return reply.status >= 500 and request.route.idempotent


def _continue_after(
    sidecar: Sidecar, request: Request, member: Member, course: _Course, result: OfferResult
) -> bool:
    """Take in an offer that brought no final answer; returns whether others may follow."""
    course.tried.add(member.name)
    match result.end:
        case OfferEnd.ANSWERED:
            course.arrivals += 1
            course.failure = result.reply
        case OfferEnd.REFUSED:
            course.refused = result.reason
            course.arrivals += result.report.arrived
            if result.reason == "target":
                course.full.add(member.name)
        case OfferEnd.UNKNOWN:
            course.arrivals += 1
            course.unknown = result.reason
            return request.route.idempotent
        case OfferEnd.UNREACHED:
            course.refused = result.reason
    return True


def _conclude(sidecar: Sidecar, request: Request, course: _Course, pressure: Pressure) -> Reply:
    if course.failure is not None:
        return course.failure
    if course.unknown:
        raise CallError(ErrorCode.OUTCOME_UNKNOWN, course.unknown)
    left_s = request.caller_deadline - sidecar.clock()
    retry_after_s = choose_return(pressure, left_s, sidecar.random)
    code = ErrorCode.OVERLOADED if request.offers else ErrorCode.NO_SERVER
    reason = course.refused or f"no backend server of {request.service} takes work"
    raise CallError(code, reason, max(retry_after_s, 0.001))


def _offer(
    sidecar: Sidecar, request: Request, message: Message, member: Member, course: _Course
) -> OfferResult:
    condition = find_condition(sidecar.members, member)
    now = sidecar.clock()
    call = HopCall(
        identifier=request.identifier,
        service=member.service,
        instance=member.instance,
        calling_service=sidecar.settings.service,
        route=request.route.name,
        idempotent=request.route.idempotent,
        nested=request.nested,
        priority=request.route.priority,
        time_left_s=request.cutoff - now,
        target_left_s=request.target_at - now,
        late=course.late,
        repeat=request.repeat or course.arrivals > 0,
        wait_left_s=find_wait_left(sidecar),
    )
    condition.in_flight += 1
    try:
        if member.name == sidecar.settings.name:
            result = _offer_here(sidecar, request, call, message)
        else:
            result = _offer_there(sidecar, call, message, member, request.cutoff)
    finally:
        condition.in_flight -= 1
    _note(sidecar, request, member, condition, result, sidecar.clock() - now)
    return result


def _offer_here(sidecar: Sidecar, request: Request, call: HopCall, message: Message) -> OfferResult:
    passage = pass_gate(sidecar, call, message, request.on_start)
    return _classify(passage.reply, passage.report)


def _offer_there(
    sidecar: Sidecar, call: HopCall, message: Message, member: Member, cutoff: float
) -> OfferResult:
    headers = [*message.headers, (CALL_HEADER, encode_note(call))]
    sent = attrs.evolve(message, headers=headers)
    deadline = cutoff + ANSWER_SLACK_S
    try:
        reply = exchange(
            sidecar.peer_links,
            member.gate,
            sent,
            deadline,
            call.idempotent,
            patience=BETWEEN_VMS,
        )
    except NotSentError as error:
        return OfferResult(OfferEnd.UNREACHED, error.message)
    except BrokenError as error:
        return OfferResult(OfferEnd.UNKNOWN, f"{type(error).__name__}: {error.message}")
    texts = [value for name, value in reply.headers if name.lower() == REPORT_HEADER.lower()]
    report = decode_report(texts[0]) if texts else None
    if report is None:
        return OfferResult(OfferEnd.UNKNOWN, f"status {reply.status} without a report")
    headers = [pair for pair in reply.headers if pair[0].lower() != REPORT_HEADER.lower()]
    return _classify(attrs.evolve(reply, headers=headers), report)


def _classify(reply: Reply | None, report: GateReport) -> OfferResult:
    if report.ran == "yes":
        return OfferResult(OfferEnd.ANSWERED, "", reply, report)
    end = OfferEnd.REFUSED if report.ran == "no" else OfferEnd.UNKNOWN
    return OfferResult(end, report.reason, None, report)


def _note(
    sidecar: Sidecar,
    request: Request,
    member: Member,
    condition: Condition,
    result: OfferResult,
    seconds: float,
) -> None:
    now, report = sidecar.clock(), result.report
    report_age_s = round(now - condition.reported_at, 3) if condition.reported_at > 0 else None
    if report is not None:
        note_report(condition, report.busy, report.mean_s, report.failing, now)
        if report.reason in _NO_ROOM:
            note_full(condition, report.reason != "target", now)
        if report.closed or report.reason in ("other_instance", "release_withheld"):
            note_closed(condition, now)
    elif result.end is OfferEnd.UNREACHED or "Timed" not in result.reason:
        note_unreachable(condition, now)
        if seconds >= SILENT_S:
            note_silence(sidecar.members, member.data_centre, now - seconds, now)
        avoid_s = round(condition.avoid_until - now, 3)
        sidecar.log(
            LogEvent.MEMBER_UNREACHABLE, member=member.name, reason=result.reason, avoid_s=avoid_s
        )
    sidecar.meters.count("attempts", result.end.value)
    sidecar.meters.observe("hop", seconds)
    if result.end is OfferEnd.ANSWERED:
        _note_size(sidecar, request.route.name, len(result.reply.body))
        sidecar.log(
            LogEvent.ATTEMPT_ENDED,
            id=request.identifier,
            member=member.name,
            release=member.release,
            status=result.reply.status,
            seconds=round(seconds, 4),
        )
        return
    sidecar.log(
        LogEvent.ATTEMPT_FAILED,
        id=request.identifier,
        member=member.name,
        release=member.release,
        outcome=result.end.value,
        reason=result.reason,
        busy=condition.busy,
        report_age_s=report_age_s,
        seconds=round(seconds, 4),
    )


def _note_size(sidecar: Sidecar, route: str, size: int) -> None:
    known = sidecar.answer_bytes.get(route, float(size))
    sidecar.answer_bytes[route] = known + SIZE_SMOOTHING * (size - known)
