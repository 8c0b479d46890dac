"""Order of the requests on one connection: which may be read and started, which answer is next."""

from __future__ import annotations

from collections import deque

import attrs

MAX_DEPTH = 16  # requests of a connection that are read and not yet answered
MAX_BUFFERED_BYTES = 1_048_576  # of answers that wait for an earlier one of the same connection
# Requests of all connections that were read early. Each holds a green thread, its head and up to
# 256 KiB of its answer, so these take at most 64 MB. Beyond that, connections are read in turn.
MAX_EARLY_REQUESTS = 256


@attrs.define
class EarlyRequests:
    """The number of requests of all connections of a process that were read early."""

    count: int = 0


@attrs.define(eq=False)
class PipelinedRequest:
    """A request that was read and is not yet answered.

    Attributes:
        repeatable: Whether it may run beside others and be sent again: its route is idempotent and
            it has no body.
        buffered_bytes: The size of the part of its answer that waits for its turn.
    """

    repeatable: bool
    buffered_bytes: int = 0


@attrs.define
class Pipeline:
    """The requests of a connection that were read and are not yet answered.

    Attributes:
        requests: The requests in the order in which they were read.
        ended: Whether nothing further is read from the connection.
        early: The number of requests that were read early on all connections of the process.
    """

    requests: deque[PipelinedRequest] = attrs.field(factory=deque)
    ended: bool = False
    early: EarlyRequests = attrs.field(factory=EarlyRequests)


def may_read(pipeline: Pipeline) -> bool:
    """Return whether the head of a further request may be read now."""
    return not pipeline.ended and not find_pause(pipeline) and not _ends_with_single(pipeline)


def find_pause(pipeline: Pipeline) -> str:
    """Return which bound forbids to read on now: `depth`, `process`, `bytes` or empty."""
    if len(pipeline.requests) >= MAX_DEPTH:
        return "depth"
    if pipeline.early.count >= MAX_EARLY_REQUESTS:
        return "process"
    buffered = sum(request.buffered_bytes for request in pipeline.requests)
    return "bytes" if buffered > MAX_BUFFERED_BYTES else ""


def add_request(pipeline: Pipeline, repeatable: bool) -> PipelinedRequest:
    """Record that a request was read and return it.

    Args:
        pipeline: The connection's pipeline.
        repeatable: Whether it may run beside others and be sent again.
    """
    request = PipelinedRequest(repeatable)
    pipeline.requests.append(request)
    return request


def end_reading(pipeline: Pipeline) -> None:
    """Record that nothing further is read, because the connection is closed after an answer."""
    pipeline.ended = True


def may_start(pipeline: Pipeline, request: PipelinedRequest) -> bool:
    """Return whether a request may start to run now.

    A request that may not be repeated starts once all earlier ones have been answered. An earlier
    answer may close the connection, and callers then send all later requests again.
    """
    return request in pipeline.requests and (request.repeatable or find_next(pipeline) is request)


def find_next(pipeline: Pipeline) -> PipelinedRequest | None:
    """Return the request whose answer is written next, or None if all were answered."""
    return pipeline.requests[0] if pipeline.requests else None


def is_last(pipeline: Pipeline, request: PipelinedRequest) -> bool:
    """Return whether no further request has been read behind a request."""
    return not pipeline.requests or pipeline.requests[-1] is request


def finish_first(pipeline: Pipeline, closes: bool) -> None:
    """Record that the first request was answered.

    Args:
        pipeline: The connection's pipeline.
        closes: Whether the answer closes the connection; the requests behind it then count as not
            read.
    """
    pipeline.requests.popleft()
    if closes:
        pipeline.ended = True
        pipeline.requests.clear()


def _ends_with_single(pipeline: Pipeline) -> bool:
    return bool(pipeline.requests) and not pipeline.requests[-1].repeatable
