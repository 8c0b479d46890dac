"""Admits requests from this and other sidecars and forwards them to this VM's backend server."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
from eventlet.event import Event

from ..calls.cancellation import CallerDisconnectedError, watch_caller
from ..codes import LogEvent
from ..mesh.backend import accepts_requests
from ..mesh.cold_starts import (
    assign_cold_turn,
    discount_sent,
    is_cold,
    record_sent,
    release_start,
)
from ..mesh.egress import estimate_delivery, find_backlog
from ..mesh.evacuations import EVACUATED_REASON
from ..mesh.evidence import count_answer
from ..mesh.gate import (
    MAX_WAIT_S,
    QueuedRequest,
    count_open_slots,
    dispatch_waiting,
    find_next_start,
    finish_request,
    leave_queue,
    observe_answer,
    observe_pace,
    request_admission,
)
from ..mesh.hop_headers import (
    CALL_HEADER,
    REPORT_HEADER,
    GateReport,
    HopCall,
    decode_call,
    encode_header_value,
)
from ..mesh.ingress import estimate_arrival
from ..mesh.pace import Outcome
from ..mesh.planned_stop import observe_duration
from ..mesh.rate_limits import assign_turn
from ..platform.headers import add_sidecar_headers, parse_response_headers
from ..urgent_hub import set_urgent
from .answer_pacing import pace_answer
from .body_turns import BodyRefusedError, find_receiver, read_at_once
from .cold_servers import record_reset_server, record_served_run, record_unreached_server
from .crash_guard import (
    ELSEWHERE_REASON,
    GuardedRequest,
    add_knowledge,
    find_crash_refusal,
    prepare_suspect,
    record_answered_run,
    record_broken_run,
    record_ended_server,
    run_guarded,
    runs_elsewhere,
)
from .evacuations import find_evacuation_refusal, find_own_order
from .http_exchange import BrokenError, Match, Message, NotSentError, Reply, TimedOutError, exchange
from .link_use import count_received, count_sent
from .protocol import close_if_stopping, count_open_request, list_headers, read_target, send_reply
from .release_guard import is_withheld
from .server_liveness import has_server_ended
from .server_notices import adopt_limit, record_response_notice
from .start_pacing import record_run, record_stated_pace
from .state import find_own_lag, find_run_wait_left, is_gate_closing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .state import Sidecar

MAX_REMEMBERED_ATTEMPTS = 20_000  # more than arrive while an attempt may still be sent again
MIN_DEDUCTED_S = 0.005
CANCELLED_STATUS = "499 Client Closed Request"


@attrs.frozen
class GateResult:
    """The result of a request at the gate.

    Attributes:
        report: Whether the request ran, and the load at the gate.
        reply: The backend server's response, or None if there is none.
    """

    report: GateReport
    reply: Reply | None = None


def build_gate_application(
    sidecar: Sidecar, control: Callable[[str, dict[str, Any]], bytes | None]
) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the gate's port.

    Args:
        sidecar: The sidecar's state.
        control: Handles internal requests between sidecars; returns the response body, or None for
            an unknown path.
    """

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        call = decode_call(environ.get("HTTP_" + CALL_HEADER.upper().replace("-", "_"), ""))
        if call is None:
            body = control(read_target(environ), environ)
            count_received(sidecar, "control", int(environ.get("CONTENT_LENGTH") or 0))
            count_sent(sidecar, "control", len(body or b""))
            return _send_control_response(body, start_response)
        set_urgent(False)  # the connection may have been used by the sender itself before
        count_open_request(sidecar, environ)
        try:
            gate_result = _handle_call(sidecar, environ, call)
        except CallerDisconnectedError:
            sidecar.meters.count("gate", "cancelled")
            start_response(CANCELLED_STATUS, [("Content-Length", "0"), ("Connection", "close")])
            return []
        close_if_stopping(sidecar, environ)
        return _send_gate_result(sidecar, call, gate_result, start_response)

    return application


def _handle_call(sidecar: Sidecar, environ: dict[str, Any], call: HopCall) -> GateResult:
    headers = [pair for pair in list_headers(environ) if pair[0].lower() != CALL_HEADER.lower()]
    with watch_caller(sidecar.watched_calls, environ) as watch:
        receive_body = find_receiver(sidecar, call, environ)
        body = None if receive_body else read_at_once(sidecar, call, environ)
        message = Message(environ["REQUEST_METHOD"], read_target(environ), headers, body)
        delivery_s = estimate_delivery(
            sidecar.egress, call.route, sidecar.settings.link_mbps, sidecar.clock()
        )
        on_start = partial(watch.begin_run, call.idempotent)
        call = _deduct_time(call, find_own_lag(sidecar))
        return handle_gate_request(sidecar, call, message, on_start, delivery_s, receive_body)


def _deduct_time(call: HopCall, seconds: float) -> HopCall:
    """Return a request's metadata with the times that are left some seconds later."""
    if seconds < MIN_DEDUCTED_S:
        return call
    return attrs.evolve(
        call,
        time_left_s=call.time_left_s - seconds,
        target_left_s=call.target_left_s - seconds,
        wait_left_s=call.wait_left_s - seconds,
    )


def _send_control_response(body: bytes | None, start_response: Any) -> Iterable[bytes]:
    status = "404 Not Found" if body is None else "200 OK"
    start_response(status, [("Content-Type", "application/json")])
    return [body or b"{}"]


def _send_gate_result(
    sidecar: Sidecar, call: HopCall, gate_result: GateResult, start_response: Any
) -> Iterable[bytes]:
    report_header = (REPORT_HEADER, encode_header_value(gate_result.report))
    reply = gate_result.reply
    if reply is None:
        status = "503 Not Run" if gate_result.report.ran == "no" else "502 Outcome Unknown"
        start_response(status, [report_header, ("Content-Length", "0")])
        return []
    count_sent(sidecar, "answers", len(reply.body))
    body = send_reply(reply, start_response, report_header)
    return pace_answer(sidecar, call.route, reply, body)


def handle_gate_request(
    sidecar: Sidecar,
    call: HopCall,
    message: Message,
    on_start: Callable[[], None] | None = None,
    delivery_s: float = 0.0,
    receive_body: Callable[[HopCall], bytes | None] | None = None,
) -> GateResult:
    """Run a request on the backend server once a slot is free, or refuse it.

    Args:
        sidecar: The sidecar's state.
        call: The request's metadata from the sending sidecar.
        message: The HTTP request.
        on_start: Called before the request is sent to the backend server; it raises
            `CallerDisconnectedError` if the caller has left by then.
        delivery_s: Seconds from the end of its run until its answer is expected to be sent.
        receive_body: Receives a body that the sender has only announced, or None.

    Raises:
        CallerDisconnectedError: If the caller closed its connection.
    """
    arrived_at = sidecar.clock()
    guarded = GuardedRequest(call.service, message, call.fingerprint or b"")
    adopt_limit(sidecar, call)
    prepare_suspect(sidecar, call, guarded)
    deadline = arrived_at + call.time_left_s
    refusal_reason = _find_refusal_reason(sidecar, call, guarded)
    if not refusal_reason and receive_body is not None:
        call, refusal_reason = _receive_body(sidecar, call, guarded, arrived_at, receive_body)
    if refusal_reason:
        gate_result = _refuse(sidecar, call, refusal_reason, arrived_at)
    else:
        gate_result = _admit_and_run(
            sidecar, call, guarded, arrived_at, deadline, on_start, delivery_s
        )
    report = add_knowledge(sidecar, call, guarded, gate_result.report)
    return attrs.evolve(gate_result, report=report)


def _receive_body(
    sidecar: Sidecar,
    call: HopCall,
    guarded: GuardedRequest,
    arrived_at: float,
    receive_body: Callable[[HopCall], bytes | None],
) -> tuple[HopCall, str]:
    """Receive the body of a request.

    Returns:
        The metadata with the times that are left then, and why the request is refused, or an empty
        string.
    """
    current, reason = _deduct_time(call, sidecar.clock() - arrived_at), ""
    try:
        guarded.message = attrs.evolve(guarded.message, body=receive_body(current))
    except BodyRefusedError as error:
        reason = error.message
    return _deduct_time(call, sidecar.clock() - arrived_at), reason


def _admit_and_run(
    sidecar: Sidecar,
    call: HopCall,
    guarded: GuardedRequest,
    arrived_at: float,
    deadline: float,
    on_start: Callable[[], None] | None,
    delivery_s: float,
) -> GateResult:
    refusal_reason = _wait_for_slot(
        sidecar, call, sidecar.clock(), deadline - delivery_s, delivery_s
    )
    if refusal_reason:
        refusal_reason = find_evacuation_refusal(sidecar) or refusal_reason
        return _refuse(sidecar, call, refusal_reason, arrived_at)
    holds_slot, holds_start = True, True
    sidecar.running_requests[call.identifier] = call.repeat
    try:
        refusal_reason = _find_refusal_reason(sidecar, call, guarded)
        if not refusal_reason and sidecar.clock() >= deadline:
            refusal_reason = "deadline"
        if refusal_reason:
            return _refuse(sidecar, call, refusal_reason, arrived_at)
        if on_start is not None:
            on_start()
        with run_guarded(sidecar, guarded):
            holds_start = False
            gate_result = _call_server(sidecar, call, guarded, arrived_at, deadline)
        if gate_result.reply is not None and gate_result.reply.remaining_chunks is not None:
            holds_slot = False
            remaining_chunks = _release_slot_after(
                sidecar, call, gate_result.reply.remaining_chunks
            )
            gate_result = attrs.evolve(
                gate_result,
                reply=attrs.evolve(gate_result.reply, remaining_chunks=remaining_chunks),
            )
        return gate_result
    finally:
        sidecar.running_requests.pop(call.identifier, None)
        sidecar.unserved_calls.pop(call.identifier, None)
        if holds_start:
            release_start(sidecar.gate.cold)
        if holds_slot:
            finish_request(sidecar.gate, call.nested, sidecar.clock())


def _release_slot_after(
    sidecar: Sidecar, call: HopCall, remaining_chunks: Iterator[bytes]
) -> Iterator[bytes]:
    """Return an iterator over the remaining chunks that frees the gate's slot when it ends."""
    release_slot = _CallOnce(lambda: finish_request(sidecar.gate, call.nested, sidecar.clock()))
    return _NotifyingIterator(remaining_chunks, release_slot)


class _CallOnce:
    """Wraps a function so that it runs only on the first call."""

    def __init__(self, function: Callable[[], None]) -> None:
        self._function: Callable[[], None] | None = function

    def __call__(self) -> None:
        function, self._function = self._function, None
        if function is not None:
            function()


class _NotifyingIterator:
    """Wraps an iterator and calls a function when it ends or is dropped, even if never started."""

    def __init__(self, chunks: Iterator[bytes], on_end: Callable[[], None]) -> None:
        self._chunks = chunks
        self._on_end = on_end

    def __iter__(self) -> _NotifyingIterator:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._chunks)
        except BaseException:
            self._on_end()
            raise

    def close(self) -> None:
        """Stop the iteration early."""
        try:
            self._chunks.close()
        finally:
            self._on_end()

    def __del__(self) -> None:
        """Call the function if the iterator was neither exhausted nor closed."""
        self._on_end()


def _find_refusal_reason(sidecar: Sidecar, call: HopCall, guarded: GuardedRequest) -> str:
    backend, latest = sidecar.backend, sidecar.backend.latest
    if latest is None or not accepts_requests(backend) or is_gate_closing(sidecar):
        return "closed"
    if latest.instance != call.instance or latest.service != call.service:
        return "other_instance"
    if is_withheld(sidecar, latest.service, latest.release):
        return "release_withheld"
    if not call.idempotent and call.identifier in sidecar.passed_attempts:
        return "taken_before"
    if reason := find_evacuation_refusal(sidecar):
        return reason
    reason = find_crash_refusal(sidecar, guarded)
    if not reason and runs_elsewhere(sidecar, call, guarded):
        return ELSEWHERE_REASON
    return reason


def _wait_for_slot(
    sidecar: Sidecar, call: HopCall, now: float, deadline: float, delivery_s: float
) -> str:
    """Wait for a slot; return an empty string, or the reason why the request got none."""
    wait_left_s = find_run_wait_left(sidecar, call.route, deadline) - delivery_s
    if wait_left_s <= 0:
        return "stopping"
    event = Event()
    queued_request = QueuedRequest(
        route=call.route,
        nested=call.nested,
        priority=call.priority,
        target_at=now + call.target_left_s - delivery_s,
        deadline_at=deadline,
        arrived_at=now,
        start_by=now + min(call.wait_left_s, wait_left_s, MAX_WAIT_S),
        resume=event.send,
        delivery_s=delivery_s,
    )
    decision = request_admission(sidecar.gate, queued_request, now, call.late)
    if decision.admitted:
        return ""
    if not decision.queued:
        return decision.reason
    _schedule_dispatch(sidecar)
    try:
        admitted = event.wait()
    except BaseException:
        if event.ready() and event.wait():
            release_start(sidecar.gate.cold)
            finish_request(sidecar.gate, call.nested, sidecar.clock())
        else:
            leave_queue(sidecar.gate, queued_request)
        raise
    return "" if admitted else "waited"


def _schedule_dispatch(sidecar: Sidecar) -> None:
    """Set a timer that starts a waiting request as soon as the rate limit allows."""
    wait_s = find_next_start(sidecar.gate, sidecar.clock())
    if wait_s is not None and not sidecar.dispatch_scheduled:
        sidecar.dispatch_scheduled = True
        eventlet.spawn_after(wait_s, _dispatch_and_reschedule, sidecar)


def _dispatch_and_reschedule(sidecar: Sidecar) -> None:
    sidecar.dispatch_scheduled = False
    dispatch_waiting(sidecar.gate, sidecar.clock())
    _schedule_dispatch(sidecar)


def _call_server(
    sidecar: Sidecar, call: HopCall, guarded: GuardedRequest, arrived_at: float, deadline: float
) -> GateResult:
    started_at = sidecar.clock()
    record_sent(sidecar.gate.cold, started_at)
    latest = sidecar.backend.latest
    headers = add_sidecar_headers(
        guarded.message.headers, deadline - started_at, call.instance, call.calling_service
    )
    if not call.idempotent:
        _remember_attempt(sidecar, call.identifier)

    def match_response(status: int, response_headers: list[tuple[str, str]]) -> Match:
        response_metadata = parse_response_headers(status, response_headers)
        if response_metadata.identifier == call.identifier:
            record_response_notice(sidecar, latest, response_metadata)
            record_stated_pace(sidecar, response_metadata.pace)
            return Match.OWN
        is_unnamed = not response_metadata.identifier and response_metadata.not_run
        return Match.UNNAMED if is_unnamed else Match.OTHER

    try:
        reply = exchange(
            sidecar.server_connections,
            sidecar.settings.server,
            attrs.evolve(guarded.message, headers=headers),
            deadline,
            call.idempotent,
            match_response,
        )
    except NotSentError as error:
        discount_sent(sidecar.gate.cold, started_at)
        record_unreached_server(sidecar, error)
        if sidecar.crash_findings.unresolved and has_server_ended(sidecar):
            record_ended_server(sidecar, latest)
        sidecar.passed_attempts.pop(call.identifier, None)
        observe_answer(sidecar.gate, call.route, 0.0, True)
        record_run(sidecar, call, latest.instance, Outcome.REFUSED, started_at)
        return _refuse(sidecar, call, f"unreachable: {error.message}", arrived_at)
    except BrokenError as error:
        may_have_ended = not isinstance(error, TimedOutError)
        server_ended = record_broken_run(sidecar, guarded, latest, may_have_ended)
        record_run(sidecar, call, latest.instance, Outcome.BROKEN, started_at)
        if may_have_ended:
            record_reset_server(sidecar, server_ended)
        fields = {"fingerprint": guarded.fingerprint.hex(), "server_ended": server_ended}
        return _report_unknown_outcome(
            sidecar, call, type(error).__name__, error.message, arrived_at, started_at, **fields
        )
    except CallerDisconnectedError:
        record_broken_run(sidecar, guarded, latest, may_have_ended=False)
        raise
    response_metadata = parse_response_headers(reply.status, reply.headers)
    if response_metadata.not_run:
        if response_metadata.misdirected:
            discount_sent(sidecar.gate.cold, started_at)
        sidecar.passed_attempts.pop(call.identifier, None)
        observe_answer(sidecar.gate, call.route, 0.0, True)
        if not response_metadata.misdirected:
            record_run(sidecar, call, latest.instance, Outcome.REFUSED, started_at)
        return _refuse(sidecar, call, f"shed {reply.status}", arrived_at, arrived=True)
    if not response_metadata.signed:
        reason = f"status {reply.status} without a signature"
        return _report_unknown_outcome(sidecar, call, "unsigned", reason, arrived_at, started_at)
    record_answered_run(sidecar, guarded, latest, started_at)
    seconds = sidecar.clock() - started_at
    observe_duration(sidecar.slowest_runs, call.route, seconds)
    record_served_run(sidecar, call.route, seconds, started_at)
    _record_outcome(sidecar, call, reply.status >= 500, seconds)
    sidecar.meters.count("gate", "answered")
    sidecar.meters.observe("queue", started_at - arrived_at)
    sidecar.meters.observe("server", seconds)
    sidecar.log(
        LogEvent.GATE_ANSWERED,
        id=call.identifier,
        route=call.route,
        instance=call.instance,
        release=latest.release,
        status=reply.status,
        queue_s=round(started_at - arrived_at, 4),
        server_s=round(seconds, 4),
    )
    if reply.status < 500:
        observe_pace(sidecar.gate, seconds, call.typical_s)
        record_run(sidecar, call, latest.instance, Outcome.ANSWERED, started_at)
    report = _build_report(sidecar, "yes", arrived=True)
    return GateResult(attrs.evolve(report, run_s=round(seconds, 4)), reply)


def _record_outcome(
    sidecar: Sidecar, call: HopCall, failed: bool, seconds: float, timed_out: bool = False
) -> None:
    now = sidecar.clock()
    observe_answer(sidecar.gate, call.route, seconds, failed)
    if failed and sidecar.unserved_calls[call.identifier] > 0:
        return  # another service failed; that says nothing of this release
    is_cold = now < sidecar.backend.warm_at
    count_answer(sidecar.route_counts, call.route, failed, seconds, is_cold, timed_out)


def _remember_attempt(sidecar: Sidecar, identifier: str) -> None:
    sidecar.passed_attempts[identifier] = None
    while len(sidecar.passed_attempts) > MAX_REMEMBERED_ATTEMPTS:
        sidecar.passed_attempts.popitem(last=False)


def _build_report(
    sidecar: Sidecar, ran: str, reason: str = "", arrived: bool = False
) -> GateReport:
    gate, backend, now = sidecar.gate, sidecar.backend, sidecar.clock()
    limiter, heard_at = gate.limiter, backend.limit_heard_at
    turn_s = assign_cold_turn(gate.cold, len(gate.waiting), now)
    if limiter is not None:
        turn_s = max(turn_s, assign_turn(limiter, len(gate.waiting), now))
    server_is_cold = is_cold(gate.cold, now)
    return GateReport(
        ran=ran,
        reason=reason,
        arrived=arrived,
        busy=gate.running + len(gate.waiting),
        mean_s=round(gate.mean_s, 4),
        failing=round(gate.failing, 3),
        pace=round(gate.pace, 3),
        link_s=round(find_backlog(sidecar.egress, now), 4),
        inbound_s=round(estimate_arrival(sidecar.ingress, 0.0), 4),
        lag_s=round(find_own_lag(sidecar), 4),
        evacuated_at=find_own_order(sidecar),
        open_slots=0 if (slots := count_open_slots(gate)) >= gate.slots else slots,
        closed=not accepts_requests(backend) or is_gate_closing(sidecar),
        leaving=backend.leaving_at is not None,
        limit_per_s=backend.limit_per_s,
        limit_age_s=None if heard_at is None else round(now - heard_at, 3),
        turn_s=round(turn_s, 4),
        cold_s=round(gate.cold.until - now, 3) if server_is_cold else 0.0,
        cold_per_s=gate.cold.limiter.limit_per_s if server_is_cold else 0.0,
    )


def _refuse(
    sidecar: Sidecar, call: HopCall, reason: str, arrived_at: float, arrived: bool = False
) -> GateResult:
    if reason == "taken_before":  # the earlier attempt with this identifier may have run
        return _report_unknown_outcome(sidecar, call, reason, reason, arrived_at, arrived_at)
    gate, now = sidecar.gate, sidecar.clock()
    sidecar.meters.count("gate", "refused")
    if reason == EVACUATED_REASON:
        sidecar.meters.count("evacuations", "refused")
    sidecar.log(
        LogEvent.GATE_REFUSED,
        id=call.identifier,
        route=call.route,
        instance=call.instance,
        reason=reason,
        running=gate.running,
        waiting=len(gate.waiting),
        mean_s=round(gate.mean_s, 4),
        time_left_s=round(call.time_left_s, 3),
        queue_s=round(now - arrived_at, 4),
        limit_per_s=sidecar.backend.limit_per_s,
    )
    return GateResult(_build_report(sidecar, "no", reason, arrived))


def _report_unknown_outcome(
    sidecar: Sidecar,
    call: HopCall,
    kind: str,
    reason: str,
    arrived_at: float,
    started_at: float,
    **fields: Any,
) -> GateResult:
    now = sidecar.clock()
    if kind == TimedOutError.__name__:
        _record_outcome(sidecar, call, True, now - started_at, timed_out=True)
    else:  # a broken connection is no evidence against the release
        observe_answer(sidecar.gate, call.route, now - started_at, True)
    sidecar.meters.count("gate", "failed")
    latest = sidecar.backend.latest
    sidecar.log(
        LogEvent.GATE_FAILED,
        id=call.identifier,
        route=call.route,
        instance=call.instance,
        release=latest.release if latest else "",
        reason=f"{kind}: {reason}",
        queue_s=round(started_at - arrived_at, 4),
        server_s=round(now - started_at, 4),
        **fields,
    )
    return GateResult(_build_report(sidecar, "unknown", f"{kind}: {reason}", arrived=True))
