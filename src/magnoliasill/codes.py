"""The codes of errors and the numbers of log events."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class ErrorCode(StrEnum):
    """A stable code that names one kind of failure towards operators and callers."""

    SETTING_INVALID = "MS-101"
    SETTING_UNKNOWN = "MS-102"
    PORT_IN_USE = "MS-103"
    FILE_UNREADABLE = "MS-201"
    FILE_SYNTAX = "MS-202"
    FILE_INVALID = "MS-203"
    FILE_UNKNOWN_KEY = "MS-204"
    REFERENCE_MISSING = "MS-205"
    ROUTE_OVERLAP = "MS-206"
    SERVICE_DUPLICATE = "MS-207"
    TAKEOVER_INVALID = "MS-208"
    BLOB_TOO_LARGE = "MS-209"
    PUBLISH_CONFLICT = "MS-301"
    STORE_UNAVAILABLE = "MS-302"
    STORE_OUTCOME_UNKNOWN = "MS-303"
    BLOB_CORRUPT = "MS-401"
    VERSION_STALE = "MS-402"
    MESSAGE_INVALID = "MS-403"
    ROUTE_UNKNOWN = "MS-501"
    NO_SERVER = "MS-502"
    NOT_RUN = "MS-503"
    OUTCOME_UNKNOWN = "MS-504"
    NOT_READY = "MS-505"
    KEY_MISSING = "MS-506"
    BODY_TOO_LARGE = "MS-507"
    ADMIN_REFUSED = "MS-601"
    ADMIN_UNREACHABLE = "MS-602"


class LogEvent(IntEnum):
    """The number of one kind of log entry; docs/EVENTS.md explains each."""

    DAEMON_STARTED = 1001
    DAEMON_STOPPING = 1002
    DAEMON_STOPPED = 1003
    DAEMON_REFUSED = 1004
    CONFIGURATION_APPLIED = 2001
    CONFIGURATION_REFUSED = 2002
    RELAY_ACQUIRED = 2101
    RELAY_LOST = 2102
    MEMBER_JOINED = 3001
    MEMBER_SUSPECTED = 3002
    MEMBER_FAILED = 3003
    MEMBER_LEFT = 3004
    MESSAGE_REFUSED = 3101
    STORE_UNAVAILABLE = 4001
    STORE_AVAILABLE = 4002
    CALL_FAILED = 5001
    SYSTEM_FAILED = 9001
