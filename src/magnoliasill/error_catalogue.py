"""The meaning and the remedy of each error code, the source of docs/ERRORS.md."""

from __future__ import annotations

import attrs

from .codes import ErrorCode


@attrs.frozen
class ErrorEntry:
    """The meaning and the remedy of one error code.

    Attributes:
        meaning: What happened.
        remedy: What the reader can try next.
    """

    meaning: str
    remedy: str


ERRORS: dict[ErrorCode, ErrorEntry] = {
    ErrorCode.SETTING_INVALID: ErrorEntry(
        "A setting is missing, malformed or out of its range.",
        "set the named flag or environment variable as docs/SETTINGS.md says",
    ),
    ErrorCode.SETTING_UNKNOWN: ErrorEntry(
        "A flag names no setting.", "compare the spelling with docs/SETTINGS.md"
    ),
    ErrorCode.PORT_IN_USE: ErrorEntry(
        "The daemon can't listen on an address.",
        "stop the other process, or choose another port or host",
    ),
    ErrorCode.USAGE_INVALID: ErrorEntry(
        "The arguments of a command can't be combined.", "read `magnoliasill COMMAND --help`"
    ),
    ErrorCode.FILE_UNREADABLE: ErrorEntry(
        "A folder holds no service file, or a file can't be read.",
        "check the path and the file permissions",
    ),
    ErrorCode.FILE_SYNTAX: ErrorEntry(
        "A service file is not valid TOML.", "correct the line that the message names"
    ),
    ErrorCode.FILE_INVALID: ErrorEntry(
        "A key of a service file is missing, of the wrong type or out of its range.",
        "correct the key that the message names",
    ),
    ErrorCode.FILE_UNKNOWN_KEY: ErrorEntry(
        "A service file has a key that does not exist.",
        "compare the spelling with the keys that the message lists",
    ),
    ErrorCode.REFERENCE_MISSING: ErrorEntry(
        "A route depends on a route that no service has.",
        "publish the other service in the same or an earlier publish, or drop the reference",
    ),
    ErrorCode.ROUTE_OVERLAP: ErrorEntry(
        "Two routes serve the same method and path.", "change the path of one of them"
    ),
    ErrorCode.SERVICE_DUPLICATE: ErrorEntry(
        "Two files of a folder describe the same service.", "remove one of them"
    ),
    ErrorCode.TAKEOVER_INVALID: ErrorEntry(
        "The releases or the times of a takeover are inconsistent with the service.",
        "correct the key that the message names",
    ),
    ErrorCode.BLOB_TOO_LARGE: ErrorEntry(
        "The encoded service file is larger than a stored value may be.", "split the service"
    ),
    ErrorCode.SERVICE_UNKNOWN: ErrorEntry(
        "The accepted configuration has no such service.",
        "compare the name with `magnoliasill status`",
    ),
    ErrorCode.TEAM_MISMATCH: ErrorEntry(
        "The service belongs to another team.",
        "ask that team, or an administrator of the platform for `publish --transfer`",
    ),
    ErrorCode.VERSION_UNKNOWN: ErrorEntry(
        "The version is not in the history that the store keeps.",
        "publish the older files instead; `magnoliasill history` lists the versions",
    ),
    ErrorCode.LOCAL_EDITS: ErrorEntry(
        "A pull would overwrite files that have local edits.",
        "move the edited files away, or overwrite them with --force",
    ),
    ErrorCode.PUBLISH_CONFLICT: ErrorEntry(
        "Another publish changed the same service since the base version.",
        "pull, reapply your changes to the files and publish again",
    ),
    ErrorCode.STORE_UNAVAILABLE: ErrorEntry(
        "The platform's store did not respond; the request had no effect.",
        "check the store's address and state, then try again",
    ),
    ErrorCode.STORE_OUTCOME_UNKNOWN: ErrorEntry(
        "The response to a write was lost; the write may have taken effect.",
        "run the same command again with the same identifier",
    ),
    ErrorCode.BLOB_CORRUPT: ErrorEntry(
        "A stored value or a received blob doesn't match its hash or its type.",
        "publish the named service again; look for other writers of the store's keys",
    ),
    ErrorCode.VERSION_STALE: ErrorEntry(
        "A configuration is not newer than the applied one.",
        "nothing: the applied configuration stays",
    ),
    ErrorCode.MESSAGE_INVALID: ErrorEntry(
        "A message from a peer is malformed or has another wire version.",
        "compare the versions of both daemons; look for other senders on the peer port",
    ),
    ErrorCode.ROUTE_UNKNOWN: ErrorEntry(
        "No route serves the method and path of a call.",
        "check the path; `magnoliasill status` lists the accepted services",
    ),
    ErrorCode.NO_SERVER: ErrorEntry(
        "No backend server of the service and release accepts requests. The call did not run.",
        "look for the service's backend servers with `magnoliasill members`",
    ),
    ErrorCode.NOT_RUN: ErrorEntry(
        "The call is known not to have run.", "send it again after the Retry-After time"
    ),
    ErrorCode.OUTCOME_UNKNOWN: ErrorEntry(
        "The call may have run, but no complete response arrived.",
        "query the service for the outcome, or retry with the same idempotency key",
    ),
    ErrorCode.NOT_READY: ErrorEntry(
        "The daemon has no configuration yet, or is stopping. The call did not run.",
        "send the call to another daemon; see `/readyz` and `magnoliasill dump`",
    ),
    ErrorCode.KEY_MISSING: ErrorEntry(
        "The route is not safe to retry and the call has no idempotency key.",
        "send an Idempotency-Key header that is unique to the request",
    ),
    ErrorCode.BODY_TOO_LARGE: ErrorEntry(
        "The body of a call is larger than the service's limit.",
        "send a smaller body, or raise `limits.max_body_bytes` of the service",
    ),
    ErrorCode.ADMIN_UNREACHABLE: ErrorEntry(
        "The administration address does not respond, or is not that of a daemon.",
        "check that the address is the administration `ip:port` of a running daemon",
    ),
    ErrorCode.TOKEN_REFUSED: ErrorEntry(
        "The team's token is missing or wrong.",
        "set MAGNOLIASILL_TOKEN or --token-file; an administrator can rotate the token",
    ),
    ErrorCode.REQUEST_INVALID: ErrorEntry(
        "The body of a request to the administration port is malformed.",
        "compare the request with docs/ADMINISTRATION.md",
    ),
    ErrorCode.REQUEST_TOO_LARGE: ErrorEntry(
        "The body of a request to the administration port is too large.",
        "publish fewer services at once",
    ),
    ErrorCode.PATH_UNKNOWN: ErrorEntry(
        "The administration port has no such path.",
        "compare the request with docs/ADMINISTRATION.md",
    ),
    ErrorCode.METHOD_UNKNOWN: ErrorEntry(
        "The path does not support this HTTP method.", "use the method that the Allow header names"
    ),
    ErrorCode.ADMIN_BUSY: ErrorEntry(
        "The daemon is already processing as many changes as it allows; this one was not started.",
        "try again after the Retry-After time, or use another daemon",
    ),
    ErrorCode.TEAM_EXISTS: ErrorEntry(
        "The team has a token already.", "use `magnoliasill team rotate NAME` to replace it"
    ),
    ErrorCode.TEAM_UNKNOWN: ErrorEntry(
        "No such team has a token.", "create it with `magnoliasill team create NAME`"
    ),
    ErrorCode.NOT_CONVERGED: ErrorEntry(
        "Some daemons did not apply the newest version within the given time.",
        "read why each of them is behind; docs/OPERATIONS.md says what to do",
    ),
    ErrorCode.DELTA_MISMATCH: ErrorEntry(
        "A configuration delta doesn't match the version that it is applied to.",
        "nothing: the daemon requests the complete configuration",
    ),
    ErrorCode.OVERLOADED: ErrorEntry(
        "Every backend server that may run the call is full. The call did not run.",
        "send it again after the Retry-After time; add backend servers if it persists",
    ),
    ErrorCode.DEADLINE_EXPIRED: ErrorEntry(
        "The caller's deadline has passed or leaves too little time. The call did not run.",
        "send the call with a later deadline",
    ),
    ErrorCode.DEADLINE_INVALID: ErrorEntry(
        "The call's deadline header is malformed.",
        "send the deadline in milliseconds as the message says",
    ),
    ErrorCode.TEAM_KEY_UNKNOWN: ErrorEntry(
        "A request carries no key of a team, or more than one, on a route that needs one.",
        "send the team's key as Authorization: Bearer KEY; a key that was taken away stays unknown",
    ),
    ErrorCode.REQUEST_BLOCKED: ErrorEntry(
        "Backend servers ended while they ran equal requests. This one did not run.",
        "do not repeat it before the Retry-After time; give its path to the service's team",
    ),
    ErrorCode.TEAM_OVER_QUOTA: ErrorEntry(
        "The team sends more requests than its quota allows. This one did not run.",
        "send it again after the Retry-After time; ask the operators for a higher quota",
    ),
    ErrorCode.KEY_IN_PROGRESS: ErrorEntry(
        "A request with this idempotency key is running.",
        "send the same request again after the Retry-After time to get its response",
    ),
    ErrorCode.KEY_USED: ErrorEntry(
        "A request with this key ran or may have run, and its response is not stored.",
        "query the service for the outcome; this request was not run again",
    ),
    ErrorCode.KEY_REUSED: ErrorEntry(
        "The idempotency key was used for a different request.", "use a new key for each request"
    ),
    ErrorCode.KEY_EXPIRED: ErrorEntry(
        "The idempotency key is older than the retention of claims. The call did not run.",
        "query the service for the outcome of the first attempt, then use a new key",
    ),
    ErrorCode.CLAIM_UNAVAILABLE: ErrorEntry(
        "The idempotency key can't be claimed at present. The call did not run.",
        "send it again after the Retry-After time; check the store if it persists",
    ),
    ErrorCode.TAKEOVER_UNKNOWN: ErrorEntry(
        "The platform's store holds no takeover of this service.",
        "check the service's name; a takeover is recorded once a controller has started it",
    ),
    ErrorCode.REQUEST_MALFORMED: ErrorEntry(
        "The call is not a well-formed HTTP request. The call did not run.",
        "correct the calling program",
    ),
    ErrorCode.HEADERS_TOO_LARGE: ErrorEntry(
        "The headers of the call are too large. The call did not run.", "send fewer headers"
    ),
    ErrorCode.URI_TOO_LONG: ErrorEntry(
        "The path and query of the call are too long. The call did not run.",
        "put the parameters into the body",
    ),
    ErrorCode.REQUEST_CRASHES: ErrorEntry(
        "The same request crashed several backend servers; it is not sent to any more.",
        "correct the request, or the defect of the service that it triggers",
    ),
}
