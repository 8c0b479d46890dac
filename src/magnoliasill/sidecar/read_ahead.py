"""Reads requests of a connection ahead while earlier ones run, and writes their answers in order.

The thread of the connection runs the first request and writes all answers. Reading ahead begins
only when bytes of a further request arrive while a request runs.
"""

from __future__ import annotations

import copy
import socket
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
from eventlet.hubs import get_hub
from greenlet import getcurrent

from ..calls.cancellation import CallerDisconnectedError
from ..mesh.pipelines import (
    Pipeline,
    add_request,
    end_reading,
    find_next,
    find_pause,
    finish_first,
    is_last,
    may_read,
    may_start,
)
from ..mesh.routes import find_route
from .protocol import read_target
from .waiting_answers import Signal, WaitingAnswer

if TYPE_CHECKING:
    from ..mesh.pipelines import EarlyRequests, PipelinedRequest
    from .state import Sidecar


def has_body(environ: dict[str, Any]) -> bool:
    """Return whether a request has a body, or asks whether to send one."""
    return (
        environ.get("CONTENT_LENGTH", "0").strip("0") != ""
        or "HTTP_TRANSFER_ENCODING" in environ
        or "HTTP_EXPECT" in environ
    )


@attrs.define(eq=False)
class ReadAhead:
    """What was read ahead on one connection.

    Attributes:
        sidecar: State of the sidecar.
        protocol: The protocol instance that handles the connection.
        early: The number of requests that were read early on all connections.
        pipeline: The requests that were read and not yet answered, or None while none was read
            early.
        answers: The answers to the requests behind the first, which its protocol instance writes.
        reader: The green thread that reads heads, or None.
        listener: Listener of the event hub for bytes of a further request, or None.
        changed: Signal of the connection's green thread.
        idle_thread: The connection's green thread while it waits for the next request, or None.
        paused: Why nothing was read when it was last tried, as of `find_pause`.
    """

    sidecar: Sidecar
    protocol: Any
    early: EarlyRequests
    pipeline: Pipeline | None = None
    answers: dict[PipelinedRequest, WaitingAnswer] = attrs.field(factory=dict)
    reader: Any = None
    listener: Any = None
    changed: Signal = attrs.field(factory=Signal)
    idle_thread: Any = None
    paused: str = ""

    def wait_idle(self, timeout_s: float) -> None:
        """Wait for the next request with the listener of the last one, if that is still there.

        Adding and removing a listener once for each request keeps the cost of a connection with one
        request at a time.

        Args:
            timeout_s: The idle timeout.

        Raises:
            TimeoutError: If no bytes arrive in time.
        """
        if self.listener is None:
            return
        hub, self.idle_thread = get_hub(), getcurrent()
        timer = hub.schedule_call_global(timeout_s, self.idle_thread.throw, TimeoutError())
        try:
            hub.switch()
        finally:
            self.idle_thread = None
            timer.cancel()
            self.stop_listening()

    def watch(self) -> None:
        """Read a further request as soon as bytes of one are there."""
        if self._has_bytes():
            self._start_reader()
        else:
            self._listen()

    def is_last(self, request: Any) -> bool:
        """Return whether no further request was read behind one, or behind the first if None."""
        if self.pipeline is None:
            return True
        return is_last(self.pipeline, request or self.pipeline.requests[0])

    def answer_others(self) -> None:
        """Write the answers to the requests behind the one that was just answered, in order."""
        while self.pipeline is not None:
            closes = bool(self.protocol.close_connection)
            finish_first(self.pipeline, closes)
            if closes:
                return
            if self.answers:  # otherwise the connection's own thread reads the next request
                self._resume()
            self.changed.wait_until(self._is_ready)
            request = find_next(self.pipeline)
            if request is None:
                return
            self._answer(self.answers[request])
            del self.answers[request]
            self.early.count -= 1

    def stop(self) -> None:
        """Stop reading ahead, and cancel the requests that are not to be answered.

        If none was read early, the listener remains for the next request.
        """
        if self.pipeline is None:
            return
        self.stop_listening()
        end_reading(self.pipeline)
        if self.reader is not None:
            self.protocol.close_connection = True  # a head may have been read in part
            self.reader.kill()
            self.reader = None
        dropped, self.answers = list(self.answers.values()), {}
        self.early.count -= len(dropped)
        for answer in dropped:
            self._count("dropped")
            answer.release(dropped=True)
            if answer.thread and not answer.complete:  # one that has not begun ends by itself
                eventlet.kill(answer.thread, CallerDisconnectedError)
        self.pipeline = None
        self.paused = ""

    def _answer(self, answer: WaitingAnswer) -> None:
        """Write an answer to its end; run its request first if that waited for its turn."""
        self.protocol.close_connection = True  # in case that writing fails
        answer.take_turn()
        if answer.thread is not None:
            self.changed.wait_until(lambda: answer.complete)
        elif answer.head_read:
            answer.protocol.run_response()
        answer.release()
        self.protocol.close_connection = answer.protocol.close_connection

    def _is_ready(self) -> bool:
        """Return whether an answer is next, or none because no request is being read."""
        return bool(self.answers) or self.reader is None

    def _resume(self) -> None:
        """Read further requests after an answer, if that is allowed."""
        if self.reader is None and self.listener is None:
            self._start_reader()

    def _start_reader(self) -> None:
        if self.pipeline is None:
            if not self._is_repeatable(self.protocol):
                return
            self.pipeline = Pipeline(early=self.early)
            add_request(self.pipeline, True)
        if self._may_read():
            self.reader = eventlet.spawn(self._read_requests)

    def _may_read(self) -> bool:
        pause = find_pause(self.pipeline)
        if pause and pause != self.paused:
            self._count(f"paused_{pause}")
        self.paused = pause
        return self.sidecar.stop_schedule is None and may_read(self.pipeline)

    def _read_requests(self) -> None:
        """Read and start requests until no more bytes are there or nothing further may be read."""
        try:
            while self._may_read():
                if not self._has_bytes():
                    self._listen()
                    break
                self._read_request()
        finally:
            self.reader = None
            self.changed.notify()

    def _read_request(self) -> None:
        answer = WaitingAnswer(self.protocol.wfile, self.changed)
        protocol = answer.protocol = copy.copy(self.protocol)
        protocol.answer, protocol.wfile = answer, answer
        protocol.close_connection = True
        try:
            protocol.handle_one_request()
        except (Exception, eventlet.Timeout):  # the head is late, or the connection broken
            answer.head_read = False
        finally:
            protocol.stop_head_timer()
        if not answer.head_read:
            protocol.close_connection = True
            answer.complete = True
            end_reading(self.pipeline)
            answer.request = add_request(self.pipeline, True)
            if answer.buffer:
                self._count("malformed")
        else:
            if protocol.close_connection:
                end_reading(self.pipeline)
            answer.request = add_request(self.pipeline, self._is_repeatable(protocol))
            starts = answer.request.repeatable and may_start(self.pipeline, answer.request)
            self._count("started" if starts else "waited")
            if starts:
                answer.thread = eventlet.spawn(self._run, answer)
        self.answers[answer.request] = answer
        self.early.count += 1
        self.changed.notify()

    def give_up_head(self) -> None:
        """Read no further, since the head that is being read has not arrived in time."""
        if self.reader is not None:
            self.protocol.clients.turn_away("head_time")
            eventlet.kill(self.reader, TimeoutError("the head did not arrive in time"))

    def _run(self, answer: WaitingAnswer) -> None:
        """Run a request beside earlier ones of its connection."""
        try:
            if not self._is_repeatable(answer.protocol):  # since the configuration has changed
                answer.wait_for_turn()
            if not answer.dropped:
                answer.protocol.run_response()
        except BaseException as error:
            answer.protocol.close_connection = True
            if not isinstance(error, (OSError, CallerDisconnectedError)):
                raise  # neither is the connection broken nor its caller gone
        finally:
            answer.end()

    def _is_repeatable(self, protocol: Any) -> bool:
        """Return whether a request may run beside others: no body, and an idempotent route.

        What is refused does not run, so a request without a route counts as repeatable.
        """
        environ = protocol.environ
        if has_body(environ) or protocol.request_version != "HTTP/1.1":
            return False
        table = self.sidecar.table
        if table is None:
            return True
        path = read_target(environ).partition("?")[0]
        route = find_route(table, environ.get("HTTP_HOST", ""), path)
        return route is None or route.idempotent

    def _has_bytes(self) -> bool:
        """Return whether bytes of a further request are there; end-of-file is none."""
        connection = self.protocol.connection
        connection.act_non_blocking = True
        try:
            return bool(self.protocol.rfile.peek(1))
        except OSError:
            return False  # found again when the connection is read or written next
        finally:
            connection.act_non_blocking = False

    def _listen(self) -> None:
        hub = get_hub()
        fileno = self.protocol.connection.fileno()
        self.listener = hub.add(hub.READ, fileno, self._on_readable, self._forget, self._forget)

    def stop_listening(self) -> None:
        """Remove the listener, which must be done before the socket is closed."""
        listener, self.listener = self.listener, None
        if listener is not None:
            get_hub().remove(listener)

    def _on_readable(self, _fileno: int) -> None:
        if self.idle_thread is not None:
            self.idle_thread.switch()
            return
        self.stop_listening()
        try:
            is_open = bool(self.protocol.connection.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            is_open = False
        if is_open:
            self._start_reader()

    def _forget(self, *error: Any) -> None:
        """Do without the listener, because the hub found the socket closed."""
        self.listener = None
        if self.idle_thread is not None and error:
            self.idle_thread.throw(*error)

    def _count(self, outcome: str) -> None:
        self.sidecar.meters.count("pipelined", outcome)
