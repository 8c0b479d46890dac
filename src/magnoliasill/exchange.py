"""One exchange: sends a call to one backend server and reads the whole answer."""

from __future__ import annotations

from http.client import HTTPException
from typing import TYPE_CHECKING, TypeAlias

import attrs
import urllib3

from .connections import drop_kin, give_back, send_request, take_connection
from .outcomes import OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from .call import Call
    from .connections import ConnectionTable

NOT_RUN_HEADER = "X-Not-Run"
MIN_TIMEOUT_S = 0.001


@attrs.frozen
class Answer:
    """A whole answer of a backend server."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen
class Exchange:
    """The end of one exchange.

    Attributes:
        kind: How it ended.
        answer: The whole answer, or None where there is none.
        problem: What went wrong, for a person.
    """

    kind: OutcomeKind
    answer: Answer | None = None
    problem: str = ""


ExchangeFunction: TypeAlias = "Callable[[ConnectionTable, str, Call, float], Exchange]"


def exchange_call(
    connections: ConnectionTable, address: str, call: Call, timeout_s: float
) -> Exchange:
    """Send a call to one backend server.

    Args:
        connections: The idle connections.
        address: The backend server's `ip:port`.
        call: The call.
        timeout_s: Seconds within which the answer has to be whole.

    Returns:
        How it ended; never an answer that was cut short.
    """
    connection = take_connection(connections, address, max(timeout_s, MIN_TIMEOUT_S))
    try:
        response = send_request(connection, call.method, call.target, call.headers, call.body)
        body = response.read()
    except urllib3.exceptions.NewConnectionError as error:
        return Exchange(OutcomeKind.UNREACHABLE, problem=str(error))
    except (urllib3.exceptions.TimeoutError, TimeoutError) as error:
        connection.close()
        drop_kin(connections, address)
        return Exchange(OutcomeKind.TIMED_OUT, problem=str(error))
    except (urllib3.exceptions.HTTPError, HTTPException, OSError) as error:
        connection.close()
        drop_kin(connections, address)
        return Exchange(OutcomeKind.BROKEN, problem=str(error))
    except BaseException:
        connection.close()
        raise
    give_back(connections, address, connection)
    answer = Answer(response.status, response.reason or "", response.getheaders(), body)
    return Exchange(_classify(answer), answer)


def _classify(answer: Answer) -> OutcomeKind:
    if any(name.lower() == NOT_RUN_HEADER.lower() for name, _ in answer.headers):
        return OutcomeKind.SHED
    return OutcomeKind.FAILED if answer.status >= 500 else OutcomeKind.SUCCEEDED
