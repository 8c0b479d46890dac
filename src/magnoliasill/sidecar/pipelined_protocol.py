"""Protocol class of a port that runs idempotent requests of a connection side by side."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..mesh.pipelines import EarlyRequests
from .protocol import ARRIVED_KEY
from .read_ahead import ReadAhead, has_body
from .state import find_own_lag

if TYPE_CHECKING:
    from ..calls.caller_protocol import CallerProtocol
    from .state import Sidecar
    from .waiting_answers import WaitingAnswer


def build_pipelined_protocol(sidecar: Sidecar, base: type[CallerProtocol]) -> type[CallerProtocol]:
    """Return a protocol class that runs idempotent requests of a connection side by side.

    Args:
        sidecar: State of the sidecar.
        base: The protocol class of the port.
    """
    early = EarlyRequests()

    class PipelinedProtocol(base):
        """Handles the requests of a connection; a copy of it stands for each pipelined request.

        Attributes:
            read_ahead: What was read ahead on the connection.
            answer: The answer to the pipelined request that this copy stands for, or None for the
                instance that handles the connection.
        """

        read_ahead: ReadAhead | None = None
        answer: WaitingAnswer | None = None

        def handle_one_request(self) -> None:
            """Wait for bytes of a request and serve it."""
            if self.answer is None and self.read_ahead is not None:
                self.read_ahead.wait_idle(self.server.keepalive)
            super().handle_one_request()

        def finish(self) -> None:
            """Close the connection."""
            if self.read_ahead is not None:
                self.read_ahead.stop_listening()
            super().finish()

        def get_environ(self) -> dict[str, Any]:
            """Return the WSGI environment, for a pipelined request with the time of its arrival."""
            environ = super().get_environ()
            if self.answer is not None:
                environ[ARRIVED_KEY] = sidecar.clock() - find_own_lag(sidecar)
                # before the hook that counts the request as answered
                environ["eventlet.posthooks"].insert(0, (_end_and_wait, (self.answer,), {}))
            return environ

        def end_late_head(self) -> None:
            """End a head that has not arrived in time; earlier requests are still answered."""
            if self.answer is None:
                super().end_late_head()
            else:
                self.read_ahead.give_up_head()

        def handle_one_response(self) -> None:
            """Run the request whose head was read; a pipelined one is run by its reader."""
            if self.answer is not None:
                self.answer.head_read = True
                return
            if self.close_connection or has_body(self.environ):
                self.run_response()
                return
            if self.read_ahead is None:
                self.read_ahead = ReadAhead(sidecar, self, early)
            try:
                self.read_ahead.watch()
                self.run_response()
                self.read_ahead.answer_others()
            finally:
                self.read_ahead.stop()

        def run_response(self) -> None:
            """Run the request and write its answer."""
            super().handle_one_response()

        def close_when_stopping(self) -> None:
            """Close the connection after this answer unless further requests were read."""
            request = self.answer and self.answer.request
            if self.read_ahead is None or self.read_ahead.is_last(request):
                self.close_connection = True

    return PipelinedProtocol


def _end_and_wait(_environ: dict[str, Any], answer: WaitingAnswer) -> None:
    answer.end_and_wait()
