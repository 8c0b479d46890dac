"""Forwards a request to backend servers, retrying with others until one of them responds."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..codes import ErrorCode, LogEvent
from ..errors import CallError
from ..mesh.contacts import record_answer, record_failed_member
from ..mesh.evacuations import EVACUATED_REASON
from ..mesh.hop_headers import (
    CALL_HEADER,
    REPORT_HEADER,
    GateReport,
    HopCall,
    decode_report,
    encode_header_value,
)
from ..mesh.ingress import is_announced
from ..mesh.members import (
    SILENCE_THRESHOLD_S,
    LoadReport,
    find_condition,
    find_notice,
    record_closed,
    record_full,
    record_load,
    record_served,
    record_silent_data_centre,
    record_unreachable,
)
from ..mesh.placement import choose_member, choose_release_members, find_limit_wait
from ..mesh.retries import try_acquire_retry
from ..mesh.retry_after import RetryAfterState, choose_retry_after, count_arrival
from ..mesh.routes import DEFAULT_PRIORITY
from ..mesh.server_notices import record_cold, record_limit, use_turn
from .bodies import LongBody, build_announced_body, measure_body
from .crash_guard import (
    BLOCKED_REASON,
    ELSEWHERE_REASON,
    GuardedRequest,
    choose_trial_member,
    describe_suspect,
    is_suspect_request,
    record_lost_hop,
)
from .crash_reports import apply_records
from .evacuations import record_evacuated
from .gate_port import handle_gate_request
from .http_exchange import (
    BETWEEN_VMS_TIMEOUTS,
    BrokenError,
    Message,
    NotSentError,
    Reply,
    UnsentBodyError,
    exchange,
)
from .link_use import count_received, count_sent
from .placements import PlacedRequest, Search, build_placement, widen_search, will_be_late
from .state import do_nothing, find_request_wait_left

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..mesh.members import Member, MemberCondition
    from ..mesh.placement import PlacementContext
    from ..mesh.routes import Route, Team
    from .state import Sidecar

MAX_ATTEMPTS = 5  # gates tried for one request; each attempt takes about 1 ms
RESPONSE_GRACE_S = 0.05  # wait for a response that is in transit when the deadline passes
RESPONSE_SIZE_SMOOTHING = 0.1  # weight of the newest response in the moving average
RUN_SMOOTHING = 0.05  # the same for durations, which vary more
MIN_ATTEMPT_TIME_S = 0.02  # an attempt that starts with less time left can't complete
# Refusal reasons of gates that mean a lack of capacity.
_CAPACITY_REFUSALS = frozenset({"target", "deadline", "queue", "wait", "waited"})


def allow_always() -> float | None:
    """Allow a request to start at any time, for one that needs no key."""
    return None


@attrs.define
class Request:
    """A caller's request.

    All times are seconds on the monotonic clock.

    Attributes:
        identifier: The value of the request's attempt identifier header.
        route: The matching route.
        service: The destination service.
        version: The version of the configuration that routed the request.
        nested: Whether this VM's backend server sent it while processing another request.
        parent_is_retry: Whether that other request is itself a retry.
        arrived_at: When the request arrived.
        target_at: The latency target: a later response is worth less to the caller.
        answer_deadline: By when the caller gets a response, from a backend server or an error.
        caller_deadline: When the caller stops waiting.
        check_caller: Raises `CallerDisconnectedError` if the caller has closed its connection.
        check_access: Returns until when the request may start at a backend server, by the keys that
            are valid now, or None without such a bound; raises `CallError` if it may not any more.
        on_start: Called before the request runs on this VM's backend server, or None; it may raise
            the same.
        priority: Its priority; 0 is the most urgent.
        team: The team that sends it, or None.
        attempted_members: The members that the request was sent to, in order.
    """

    identifier: str
    route: Route
    service: str
    version: int
    nested: bool
    parent_is_retry: bool
    arrived_at: float
    target_at: float
    answer_deadline: float
    caller_deadline: float
    check_caller: Callable[[], None] = do_nothing
    check_access: Callable[[], float | None] = allow_always
    on_start: Callable[[], None] | None = None
    priority: int = DEFAULT_PRIORITY
    team: Team | None = None
    attempted_members: list[str] = attrs.field(factory=list)


class AttemptOutcome(Enum):
    """How an attempt to send a request to a gate ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


@attrs.frozen
class AttemptResult:
    """The result of one attempt.

    Attributes:
        outcome: How the attempt ended.
        reason: Why there is no response, or an empty string.
        reply: The backend server's response, or None.
        report: The gate's report, or None if none was received.
        body_unsent: Whether the gate did not get the body, so that no server ended by this attempt.
    """

    outcome: AttemptOutcome
    reason: str = ""
    reply: Reply | None = None
    report: GateReport | None = None
    body_unsent: bool = False


@attrs.define
class _AttemptState(Search):
    """The state of a request across its attempts.

    Attributes:
        servers_reached: The number of backend servers that received the request.
        unknown_reason: Why the request may have run without a response, or an empty string.
        refusal_reason: Why the last gate did not run the request.
        failed_reply: The latest response with a server error status, or None.
        blocked_s: Seconds for which equal requests are refused, since servers ended under them.
    """

    servers_reached: int = 0
    unknown_reason: str = ""
    refusal_reason: str = ""
    failed_reply: Reply | None = None
    blocked_s: float = 0.0


def forward_request(sidecar: Sidecar, request: Request, message: Message) -> Reply:
    """Send a request to one backend server after another and return the response.

    Args:
        sidecar: The sidecar's state.
        request: The request.
        message: The HTTP message to send.

    Raises:
        CallError: If no backend server responded.
    """
    state = _AttemptState(late=will_be_late(sidecar, request.route.name, request.target_at))
    guarded = GuardedRequest(request.service, message)
    retry_after_state = sidecar.retry_after_states.setdefault(request.service, RetryAfterState())
    count_arrival(retry_after_state, request.arrived_at)
    candidates = None
    while len(request.attempted_members) < MAX_ATTEMPTS and _has_time_for_attempt(sidecar, request):
        placement = _build_placement(sidecar, request, message, state)
        if candidates is None:
            candidates = choose_release_members(sidecar.members, placement, sidecar.random)
        if is_suspect_request(sidecar, guarded):
            candidates = _avoid_own_vm(sidecar, candidates)
        member = choose_trial_member(sidecar, guarded, candidates, state.tried)
        if member is None:
            member = choose_member(sidecar.members, candidates, placement, sidecar.random)
        if member is None:
            if not widen_search(state):
                break
            candidates = None
            continue
        if not _may_attempt(sidecar, request, message, state):
            break
        request.attempted_members.append(member.name)
        result = _attempt(sidecar, request, guarded, member, state)
        if result.outcome is AttemptOutcome.ANSWERED and not _should_retry(request, result.reply):
            return result.reply
        if not _record_unfinished_attempt(sidecar, request, member, state, result):
            break
        # A new release may fail a request only once: later attempts avoid it.
        if state.servers_reached and state.allow_limited_release:
            state.allow_limited_release, candidates = False, None
    return _build_final_reply(sidecar, request, message, state, retry_after_state)


def _avoid_own_vm(sidecar: Sidecar, candidates: list[Member]) -> list[Member]:
    """Leave out this VM if there are others, so that the sender survives the VM that runs it."""
    others = [member for member in candidates if member.name != sidecar.settings.name]
    return others or candidates


def _has_time_for_attempt(sidecar: Sidecar, request: Request) -> bool:
    return (
        sidecar.clock() < request.answer_deadline - MIN_ATTEMPT_TIME_S
        and find_request_wait_left(sidecar, request.route.name, request.answer_deadline) > 0
    )


def _build_placement(
    sidecar: Sidecar, request: Request, message: Message, state: _AttemptState
) -> PlacementContext:
    placed = PlacedRequest(
        request.service,
        request.route.name,
        request.nested,
        request.target_at,
        request.answer_deadline,
        measure_body(message.body),
    )
    return build_placement(sidecar, placed, state)


def _may_attempt(
    sidecar: Sidecar, request: Request, message: Message, state: _AttemptState
) -> bool:
    if isinstance(message.body, LongBody) and message.body.consumed:
        return False  # also if no server ran it: the caller's bytes are gone
    if not state.servers_reached:
        return True
    if state.servers_reached >= request.route.attempts or not _is_still_allowed(request):
        return False
    sidecar_count = max(len(sidecar.members.records), 1)
    return try_acquire_retry(sidecar.retry_budget, request.service, sidecar_count, sidecar.clock())


def _is_still_allowed(request: Request) -> bool:
    """Return whether a request that may have run already may be sent once more."""
    try:
        request.check_access()
    except CallError:
        return False
    return True


def _should_retry(request: Request, reply: Reply) -> bool:
    return reply.status >= 500 and request.route.idempotent


def _record_unfinished_attempt(
    sidecar: Sidecar, request: Request, member: Member, state: _AttemptState, result: AttemptResult
) -> bool:
    """Record an attempt without a final response and return whether another one may follow."""
    if result.reason != ELSEWHERE_REASON:  # that gate may become the one to choose
        state.tried.add(member.name)
    match result.outcome:
        case AttemptOutcome.ANSWERED:
            state.servers_reached += 1
            state.failed_reply = result.reply
        case AttemptOutcome.REFUSED:
            state.refusal_reason = result.reason
            state.servers_reached += result.report.arrived
            state.blocked_s = result.report.blocked_s
            if result.reason == BLOCKED_REASON:
                return False
            if result.reason == "target":
                state.full.add(member.name)
        case AttemptOutcome.UNKNOWN:
            state.servers_reached += 1
            state.unknown_reason = result.reason
            return request.route.idempotent
        case AttemptOutcome.UNREACHED:
            state.refusal_reason = result.reason
    return True


def _build_final_reply(
    sidecar: Sidecar,
    request: Request,
    message: Message,
    state: _AttemptState,
    retry_after_state: RetryAfterState,
) -> Reply:
    if state.failed_reply is not None:
        return state.failed_reply
    if state.unknown_reason:
        raise CallError(ErrorCode.OUTCOME_UNKNOWN, state.unknown_reason)
    if state.refusal_reason == BLOCKED_REASON:
        reason = "backend servers ended while they ran equal requests"
        raise CallError(ErrorCode.REQUEST_BLOCKED, reason, state.blocked_s)
    left_s = request.caller_deadline - sidecar.clock()
    placement = _build_placement(sidecar, request, message, state)
    candidates = choose_release_members(sidecar.members, placement, sidecar.random)
    limit_wait = find_limit_wait(sidecar.members, candidates, placement)
    retry_after_s = choose_retry_after(retry_after_state, left_s, sidecar.random, limit_wait)
    code = ErrorCode.OVERLOADED if request.attempted_members or limit_wait else ErrorCode.NO_SERVER
    reason = state.refusal_reason or f"no backend server of {request.service} accepts requests"
    if limit_wait is not None:
        reason = f"all backend servers of {request.service} are at their rate limits"
    raise CallError(code, reason, max(retry_after_s, 0.001))


def _attempt(
    sidecar: Sidecar,
    request: Request,
    guarded: GuardedRequest,
    member: Member,
    state: _AttemptState,
) -> AttemptResult:
    condition = find_condition(sidecar.members, member)
    notice = find_notice(sidecar.members, member.instance, member.born)
    now, message_body = sidecar.clock(), guarded.message.body
    call = HopCall(
        identifier=request.identifier,
        service=member.service,
        instance=member.instance,
        calling_service=sidecar.settings.service,
        route=request.route.name,
        idempotent=request.route.idempotent,
        nested=request.nested,
        priority=request.priority,
        time_left_s=round(request.answer_deadline - now, 4),
        target_left_s=round(request.target_at - now, 4),
        late=state.late,
        repeat=request.parent_is_retry or state.servers_reached > 0,
        wait_left_s=_find_start_left(sidecar, request, now, state.servers_reached > 0),
        born=member.born,
        limit_per_s=notice.limit_per_s,
        limit_age_s=round(max(now - notice.heard_at, 0.0), 3) if notice.limit_per_s else 0.0,
        crashes=describe_suspect(sidecar, guarded),
        typical_s=round(sidecar.typical_runs.get(request.route.name, 0.0), 4),
        fingerprint=guarded.fingerprint if _is_asked_for(message_body, member) else None,
    )
    use_turn(notice, now)
    condition.in_flight += 1
    try:
        if member.name == sidecar.settings.name:
            result = _attempt_locally(sidecar, request, call, guarded.message)
        else:
            request.check_caller()
            result = _attempt_remotely(
                sidecar, call, guarded.message, member, request.answer_deadline
            )
    finally:
        condition.in_flight -= 1
    _record_attempt(sidecar, request, member, condition, result, sidecar.clock() - now)
    _learn_of_crashes(sidecar, guarded, member, result)
    return result


def _find_start_left(sidecar: Sidecar, request: Request, now: float, may_have_run: bool) -> float:
    """Return the seconds within which a request must start.

    Raises:
        CallError: If its key is not valid any more, and no server has received it.
    """
    try:
        start_by = request.check_access()
    except CallError:
        if not may_have_run:
            raise
        start_by = now
    left_s = find_request_wait_left(sidecar, request.route.name, request.answer_deadline)
    return left_s if start_by is None else round(min(left_s, start_by - now), 4)


def _learn_of_crashes(
    sidecar: Sidecar, guarded: GuardedRequest, member: Member, result: AttemptResult
) -> None:
    report = result.report
    if report is None and result.outcome is AttemptOutcome.UNKNOWN and not result.body_unsent:
        record_lost_hop(sidecar, guarded, member)
    elif report is not None and report.crashes is not None:
        apply_records(sidecar, [report.crashes])


def _attempt_locally(
    sidecar: Sidecar, request: Request, call: HopCall, message: Message
) -> AttemptResult:
    gate_result = handle_gate_request(sidecar, call, message, request.on_start)
    return _classify_report(gate_result.reply, gate_result.report)


def _attempt_remotely(
    sidecar: Sidecar, call: HopCall, message: Message, member: Member, answer_deadline: float
) -> AttemptResult:
    headers = [*message.headers, (CALL_HEADER, encode_header_value(call))]
    is_asked_for = call.fingerprint is not None
    body = build_announced_body(message.body) if is_asked_for else message.body
    hop_message = attrs.evolve(message, headers=headers, body=body, expects_continue=is_asked_for)
    deadline = answer_deadline + RESPONSE_GRACE_S
    count_sent(sidecar, "bodies", 0 if is_asked_for else measure_body(body))
    try:
        reply = exchange(
            sidecar.peer_connections,
            member.gate,
            hop_message,
            deadline,
            call.idempotent,
            timeouts=BETWEEN_VMS_TIMEOUTS,
        )
    except NotSentError as error:
        return AttemptResult(AttemptOutcome.UNREACHED, error.message)
    except BrokenError as error:
        reason = f"{type(error).__name__}: {error.message}"
        body_unsent = isinstance(error, UnsentBodyError)
        return AttemptResult(AttemptOutcome.UNKNOWN, reason, body_unsent=body_unsent)
    count_received(sidecar, "answers", len(reply.body))
    report_values = [
        value for name, value in reply.headers if name.lower() == REPORT_HEADER.lower()
    ]
    report = decode_report(report_values[0]) if report_values else None
    if report is None:
        return AttemptResult(AttemptOutcome.UNKNOWN, f"status {reply.status} without a gate report")
    headers = [pair for pair in reply.headers if pair[0].lower() != REPORT_HEADER.lower()]
    return _classify_report(attrs.evolve(reply, headers=headers), report)


def _is_asked_for(body: bytes | LongBody | None, member: Member) -> bool:
    """Return whether a body is sent to another VM only once its gate asks for it."""
    return isinstance(body, LongBody) or is_announced(measure_body(body), member.link_mbps)


def _classify_report(reply: Reply | None, report: GateReport) -> AttemptResult:
    if report.ran == "yes":
        return AttemptResult(AttemptOutcome.ANSWERED, "", reply, report)
    outcome = AttemptOutcome.REFUSED if report.ran == "no" else AttemptOutcome.UNKNOWN
    return AttemptResult(outcome, report.reason, None, report)


def _record_attempt(
    sidecar: Sidecar,
    request: Request,
    member: Member,
    condition: MemberCondition,
    result: AttemptResult,
    seconds: float,
) -> None:
    now, report = sidecar.clock(), result.report
    report_age_s = round(now - condition.reported_at, 3) if condition.reported_at > 0 else None
    if report is not None:
        _record_notice(sidecar, member, report, now)
        load_report = LoadReport(
            report.busy,
            report.mean_s,
            report.failing,
            report.pace,
            report.link_s,
            report.lag_s,
            report.open_slots,
            report.inbound_s,
        )
        record_load(sidecar.members, member, load_report, now)
        if member.name != sidecar.settings.name:
            record_answer(sidecar.contacts, sidecar.members, member)
        if _lacks_capacity(sidecar, request, report.reason, now - seconds):
            record_full(condition, report.reason != "target", now)
        if report.closed or report.reason in ("other_instance", "release_withheld"):
            record_closed(condition, now)
        if report.reason == EVACUATED_REASON:
            record_evacuated(sidecar, member, condition, report, now)
    elif result.outcome is AttemptOutcome.UNREACHED or "Timed" not in result.reason:
        _record_unreached(sidecar, member, condition, result.reason, now - seconds)
    sidecar.meters.count("attempts", result.outcome.value)
    sidecar.meters.observe("hop", seconds)
    if result.outcome is AttemptOutcome.ANSWERED:
        record_served(condition)
        route, size = request.route.name, float(len(result.reply.body))
        _update_average(sidecar.answer_bytes, route, size, RESPONSE_SIZE_SMOOTHING)
        if result.reply.status < 500:
            _update_average(sidecar.typical_runs, route, report.run_s, RUN_SMOOTHING)
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
        outcome=result.outcome.value,
        reason=result.reason,
        busy=condition.busy,
        report_age_s=report_age_s,
        seconds=round(seconds, 4),
    )


def _record_unreached(
    sidecar: Sidecar, member: Member, condition: MemberCondition, reason: str, sent_at: float
) -> None:
    """Avoid a member that could not be reached, and its data centre if that seems cut off."""
    now, members = sidecar.clock(), sidecar.members
    record_unreachable(condition, now)
    if now - sent_at >= SILENCE_THRESHOLD_S:
        record_silent_data_centre(members, member.data_centre, sent_at, now)
    if record_failed_member(sidecar.contacts, members, member, sent_at, now):
        sidecar.log(LogEvent.DATA_CENTRE_SILENT, other_data_centre=member.data_centre)
    avoid_s = round(condition.avoid_until - now, 3)
    sidecar.log(LogEvent.MEMBER_UNREACHABLE, member=member.name, reason=reason, avoid_s=avoid_s)


def _lacks_capacity(sidecar: Sidecar, request: Request, reason: str, sent_at: float) -> bool:
    """Return whether a gate that refused a request would refuse others, too."""
    due_at = request.target_at if reason == "target" else request.answer_deadline
    typical_s = sidecar.typical_runs.get(request.route.name, 0.0)
    return reason in _CAPACITY_REFUSALS and sent_at + typical_s <= due_at


def _record_notice(sidecar: Sidecar, member: Member, report: GateReport, now: float) -> None:
    """Record what the backend server announced, unless the gate fronts another one now."""
    if report.reason == "other_instance":
        return
    notice = find_notice(sidecar.members, member.instance, member.born)
    notice.leaving = notice.leaving or report.leaving
    if report.limit_age_s is not None:
        record_limit(notice, report.limit_per_s, report.limit_age_s, report.turn_s, now)
    record_cold(notice, report.cold_s, report.cold_per_s, report.turn_s, now)


def _update_average(averages: dict[str, float], key: str, value: float, smoothing: float) -> None:
    average = averages.get(key, value)
    averages[key] = average + smoothing * (value - average)
