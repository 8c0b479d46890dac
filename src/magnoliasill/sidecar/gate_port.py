"""The gate's port: takes other sidecars' requests for the backend server beside this one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from eventlet.event import Event

from ..calls.disconnects import CallerDisconnectedError, watch_caller
from ..codes import LogEvent
from ..mesh.backend import is_open
from ..mesh.evidence import count_answer
from ..mesh.gate import (
    MAX_WAIT_S,
    Ticket,
    finish_request,
    leave_queue,
    observe_answer,
    offer_request,
)
from ..mesh.hop import CALL_HEADER, REPORT_HEADER, GateReport, HopCall, decode_call, encode_note
from ..platform.headers import add_sidecar_headers, parse_response_headers
from .bodies import read_body
from .exposure import is_withheld
from .protocol import answer_reply, count_open, end_connection, list_headers, read_target
from .state import is_gate_closing
from .transfer import BrokenError, Message, NotSentError, Reply, TimedOutError, exchange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .state import Sidecar

MAX_TAKEN = 20_000  # attempts that are remembered; more than arrive while one may be repeated
UNLIMITED = 1 << 40
CANCELLED_STATUS = "499 Client Closed Request"


@attrs.frozen
class Passage:
    """The end of a request at the gate: the server's answer, or why there is none."""

    report: GateReport
    reply: Reply | None = None


def build_gate_application(
    sidecar: Sidecar, control: Callable[[str, dict[str, Any]], bytes | None]
) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the gate's port.

    Args:
        sidecar: The tables.
        control: Answers what sidecars ask each other, or returns None for another path.
    """

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        call = decode_call(environ.get("HTTP_" + CALL_HEADER.upper().replace("-", "_"), ""))
        if call is None:
            return _answer_control(control(read_target(environ), environ), start_response)
        count_open(sidecar, environ)
        try:
            passage = _serve_call(sidecar, environ, call)
        except CallerDisconnectedError:
            sidecar.meters.count("gate", "cancelled")
            start_response(CANCELLED_STATUS, [("Content-Length", "0"), ("Connection", "close")])
            return []
        end_connection(sidecar, environ)
        return _answer(passage, start_response)

    return application


def _serve_call(sidecar: Sidecar, environ: dict[str, Any], call: HopCall) -> Passage:
    headers = [pair for pair in list_headers(environ) if pair[0].lower() != CALL_HEADER.lower()]
    with watch_caller(sidecar.watched, environ) as watch:
        body = read_body(environ, UNLIMITED)
        message = Message(environ["REQUEST_METHOD"], read_target(environ), headers, body)
        return pass_gate(sidecar, call, message, watch.release if not call.idempotent else None)


def _answer_control(body: bytes | None, start_response: Any) -> Iterable[bytes]:
    status = "404 Not Found" if body is None else "200 OK"
    start_response(status, [("Content-Type", "application/json")])
    return [body or b"{}"]


def _answer(passage: Passage, start_response: Any) -> Iterable[bytes]:
    note = (REPORT_HEADER, encode_note(passage.report))
    reply = passage.reply
    if reply is None:
        status = "503 Not Run" if passage.report.ran == "no" else "502 Outcome Unknown"
        start_response(status, [note, ("Content-Length", "0")])
        return []
    return answer_reply(reply, start_response, note)


def pass_gate(
    sidecar: Sidecar,
    call: HopCall,
    message: Message,
    on_start: Callable[[], None] | None = None,
) -> Passage:
    """Let a request through to the backend server, or refuse it.

    Args:
        sidecar: The tables.
        call: What its caller's sidecar says of it.
        message: The request.
        on_start: Called before it is passed on.

    Raises:
        CallerDisconnectedError: If its caller has gone.
    """
    arrived_at = sidecar.clock()
    refusal = _find_refusal(sidecar, call)
    if refusal:
        return _refuse(sidecar, call, refusal, arrived_at)
    deadline = arrived_at + call.time_left_s
    refusal = _wait_for_slot(sidecar, call, arrived_at, deadline)
    if refusal:
        return _refuse(sidecar, call, refusal, arrived_at)
    held = True
    sidecar.running[call.identifier] = call.repeat
    try:
        refusal = _find_refusal(sidecar, call)
        if refusal:
            return _refuse(sidecar, call, refusal, arrived_at)
        if on_start is not None:
            on_start()
        passage = _run(sidecar, call, message, arrived_at, deadline)
        if passage.reply is not None and passage.reply.rest is not None:
            held = False
            rest = _hold_slot(sidecar, call, passage.reply.rest)
            passage = attrs.evolve(passage, reply=attrs.evolve(passage.reply, rest=rest))
        return passage
    finally:
        sidecar.running.pop(call.identifier, None)
        if held:
            finish_request(sidecar.gate, call.nested, sidecar.clock())


def _hold_slot(sidecar: Sidecar, call: HopCall, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the pieces of an answer and give its place back afterwards."""
    done = _Once(lambda: finish_request(sidecar.gate, call.nested, sidecar.clock()))
    return _Pieces(rest, done)


class _Once:
    """Calls a function at most once."""

    def __init__(self, function: Callable[[], None]) -> None:
        self._function: Callable[[], None] | None = function

    def __call__(self) -> None:
        function, self._function = self._function, None
        if function is not None:
            function()


class _Pieces:
    """An iterator that tells when it has ended, also where it was never begun."""

    def __init__(self, pieces: Iterator[bytes], on_end: Callable[[], None]) -> None:
        self._pieces = pieces
        self._on_end = on_end

    def __iter__(self) -> _Pieces:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._pieces)
        except BaseException:
            self._on_end()
            raise

    def close(self) -> None:
        """End it early."""
        try:
            self._pieces.close()
        finally:
            self._on_end()

    def __del__(self) -> None:
        """Give back what nobody ended."""
        self._on_end()


def _find_refusal(sidecar: Sidecar, call: HopCall) -> str:
    backend, latest = sidecar.backend, sidecar.backend.latest
    if latest is None or not is_open(backend) or is_gate_closing(sidecar):
        return "closed"
    if latest.instance != call.instance or latest.service != call.service:
        return "other_instance"
    if is_withheld(sidecar, latest.service, latest.release):
        return "release_withheld"
    if not call.idempotent and call.identifier in sidecar.taken:
        return "taken_before"
    return ""


def _wait_for_slot(sidecar: Sidecar, call: HopCall, now: float, deadline: float) -> str:
    """Wait for a slot; returns why there is none, or an empty string."""
    event = Event()
    ticket = Ticket(
        route=call.route,
        nested=call.nested,
        priority=call.priority,
        target_at=now + call.target_left_s,
        deadline_at=deadline,
        arrived_at=now,
        start_by=now + min(call.wait_left_s, MAX_WAIT_S),
        resume=event.send,
    )
    offer = offer_request(sidecar.gate, ticket, now, call.late)
    if offer.admitted:
        return ""
    if not offer.queued:
        return offer.reason
    try:
        admitted = event.wait()
    except BaseException:
        if event.ready() and event.wait():
            finish_request(sidecar.gate, call.nested, sidecar.clock())
        else:
            leave_queue(sidecar.gate, ticket)
        raise
    return "" if admitted else "waited"


def _run(
    sidecar: Sidecar, call: HopCall, message: Message, arrived_at: float, deadline: float
) -> Passage:
    started_at = sidecar.clock()
    latest = sidecar.backend.latest
    headers = add_sidecar_headers(
        message.headers, deadline - started_at, call.instance, call.calling_service
    )
    if not call.idempotent:
        _remember(sidecar, call.identifier)

    def belongs(status: int, found: list[tuple[str, str]]) -> bool:
        marks = parse_response_headers(status, found)
        return marks.identifier == call.identifier or (not marks.identifier and marks.not_run)

    try:
        reply = exchange(
            sidecar.server_links,
            sidecar.settings.server,
            attrs.evolve(message, headers=headers),
            deadline,
            call.idempotent,
            belongs,
        )
    except NotSentError as error:
        sidecar.taken.pop(call.identifier, None)
        observe_answer(sidecar.gate, call.route, 0.0, True)
        return _refuse(sidecar, call, f"unreachable: {error.message}", arrived_at)
    except BrokenError as error:
        return _fail(sidecar, call, type(error).__name__, error.message, arrived_at, started_at)
    marks = parse_response_headers(reply.status, reply.headers)
    if marks.not_run:
        sidecar.taken.pop(call.identifier, None)
        observe_answer(sidecar.gate, call.route, 0.0, True)
        return _refuse(sidecar, call, f"shed {reply.status}", arrived_at, arrived=True)
    if not marks.signed:
        reason = f"status {reply.status} without a signature"
        return _fail(sidecar, call, "unsigned", reason, arrived_at, started_at)
    seconds = sidecar.clock() - started_at
    _observe(sidecar, call, reply.status >= 500, seconds)
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
    return Passage(_report(sidecar, "yes", arrived=True), reply)


def _observe(sidecar: Sidecar, call: HopCall, failed: bool, seconds: float) -> None:
    now = sidecar.clock()
    observe_answer(sidecar.gate, call.route, seconds, failed)
    count_answer(sidecar.counts, call.route, failed, seconds, now < sidecar.backend.warm_at)


def _remember(sidecar: Sidecar, identifier: str) -> None:
    sidecar.taken[identifier] = None
    while len(sidecar.taken) > MAX_TAKEN:
        sidecar.taken.popitem(last=False)


def _report(sidecar: Sidecar, ran: str, reason: str = "", arrived: bool = False) -> GateReport:
    gate = sidecar.gate
    return GateReport(
        ran=ran,
        reason=reason,
        arrived=arrived,
        busy=gate.running + len(gate.waiting),
        mean_s=round(gate.mean_s, 4),
        failing=round(gate.failing, 3),
        closed=not is_open(sidecar.backend) or is_gate_closing(sidecar),
    )


def _refuse(
    sidecar: Sidecar, call: HopCall, reason: str, arrived_at: float, arrived: bool = False
) -> Passage:
    if reason == "taken_before":  # the first one of it may have run
        return _fail(sidecar, call, reason, reason, arrived_at, arrived_at)
    gate, now = sidecar.gate, sidecar.clock()
    sidecar.meters.count("gate", "refused")
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
    )
    return Passage(_report(sidecar, "no", reason, arrived))


def _fail(
    sidecar: Sidecar, call: HopCall, kind: str, reason: str, arrived_at: float, started_at: float
) -> Passage:
    now = sidecar.clock()
    if kind == TimedOutError.__name__:
        _observe(sidecar, call, True, now - started_at)
    else:  # a connection that broke tells nothing of the release
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
    )
    return Passage(_report(sidecar, "unknown", f"{kind}: {reason}", arrived=True))
