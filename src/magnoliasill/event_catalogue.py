"""The meaning, fields and operator action of each log event, the source of docs/EVENTS.md."""

from __future__ import annotations

import attrs

from .codes import LogEvent


@attrs.frozen
class EventEntry:
    """The description of one kind of log event.

    Attributes:
        meaning: What happened.
        fields: The names of the fields that the event may have, in any order.
        reaction: What the operator on call should do.
    """

    meaning: str
    fields: tuple[str, ...] = ()
    reaction: str = "nothing"


TAKEOVER_FIELDS = ("service", "takeover", "stage", "reason")

EVENTS: dict[LogEvent, EventEntry] = {
    LogEvent.DAEMON_STARTED: EventEntry(
        "The daemon listens on its ports.", fields=("caller_port",)
    ),
    LogEvent.DAEMON_STOPPING: EventEntry(
        "The daemon received a signal to stop and accepts no more calls.", fields=("open_calls",)
    ),
    LogEvent.DAEMON_STOPPED: EventEntry(
        "The daemon has stopped.",
        fields=("open_calls",),
        reaction="if `open_calls` is not 0, raise `--drain-ms`",
    ),
    LogEvent.DAEMON_REFUSED: EventEntry(
        "The daemon can't start.",
        fields=("code", "reason", "advice"),
        reaction="correct the setting that the reason names",
    ),
    LogEvent.SETTINGS_RELOADED: EventEntry(
        "The settings file changed and its new content is active.", fields=("path",)
    ),
    LogEvent.SETTINGS_REFUSED: EventEntry(
        "The settings file changed and is invalid; the previous settings stay active.",
        fields=("path", "code", "reason"),
        reaction="correct the file; the reason names the field",
    ),
    LogEvent.CONFIGURATION_APPLIED: EventEntry(
        "This daemon applied a newer configuration.", fields=("version", "publish_id")
    ),
    LogEvent.CONFIGURATION_RECEIVED: EventEntry(
        "A response with versions of the configuration arrived: from a relay (its name), from a "
        "watch of the store or from a read of its items, how old the local copy was before, and "
        "the most seconds since the acceptance of the newest version.",
        fields=("source", "revision", "versions", "size", "seconds", "copy_age_s", "delay_s"),
        reaction="if `copy_age_s` or `seconds` is near the time allowed to apply a change, check "
        "the VM's link and whether the store answers it",
    ),
    LogEvent.LINK_FILLED: EventEntry(
        "What this process read or wrote within a second took much of its VM's network link; the "
        "bytes by kind: `bodies` of requests at gates, `answers` of gates, `callers`, `store`, and "
        "`control` for what sidecars ask each other.",
        fields=("direction", "share", "kinds"),
        reaction="if it lasts, find out which service fills the link, and give its VMs a faster "
        "one or the service more servers",
    ),
    LogEvent.CONFIGURATION_LATE: EventEntry(
        "A configuration came into force when much of the time allowed for that had passed: the "
        "most that may have passed since its acceptance, in seconds, and since the store answered "
        "again, if it had failed.",
        fields=("version", "source", "delay_s", "seconds", "copy_age_s", "store_returned_s"),
        reaction="the other lines of the VM about its relays and the store say what it waited for; "
        "a short `store_returned_s` explains the delay",
    ),
    LogEvent.CONFIGURATION_REFUSED: EventEntry(
        "A newer configuration was rejected as a whole; the applied one stays.",
        fields=("version", "code", "reason"),
        reaction="publish a corrected version; the code says what was wrong",
    ),
    LogEvent.JOIN_COMPLETED: EventEntry(
        "After its start the daemon learned enough from other daemons to apply a configuration.",
        fields=("reason", "answers", "floor"),
    ),
    LogEvent.CONFIRMATION_MISSING: EventEntry(
        "A configuration was applied before other daemons confirmed that they hold it.",
        fields=("version", "witnesses"),
        reaction="look for unreachable daemons in this data centre",
    ),
    LogEvent.RELAY_ACQUIRED: EventEntry(
        "This daemon reads the platform's store for its data centre.", fields=("slot",)
    ),
    LogEvent.RELAY_LOST: EventEntry(
        "This daemon no longer reads the platform's store.",
        fields=("slot",),
        reaction="nothing, unless the data centre has no relay for minutes while the store is up",
    ),
    LogEvent.MEMBER_JOINED: EventEntry(
        "A daemon is known and alive.", fields=("member", "member_data_centre")
    ),
    LogEvent.MEMBER_SUSPECTED: EventEntry(
        "No message from a daemon has arrived for some time.",
        fields=("member", "member_data_centre"),
    ),
    LogEvent.MEMBER_FAILED: EventEntry(
        "A daemon is considered failed; its backend server gets no more requests.",
        fields=("member", "member_data_centre"),
        reaction="check its VM if it does not return",
    ),
    LogEvent.MEMBER_LEFT: EventEntry(
        "A daemon has shut down gracefully.", fields=("member", "member_data_centre")
    ),
    LogEvent.MESSAGE_REFUSED: EventEntry(
        "A message on the peer port was malformed or had another wire version.",
        fields=("reason",),
        reaction="look for daemons of another version, or for other senders on the peer port",
    ),
    LogEvent.SERVER_SILENT: EventEntry(
        "The backend server on this VM no longer announces itself; it gets no more requests.",
        fields=("service", "server_address"),
        reaction="check the backend server",
    ),
    LogEvent.DATA_CENTRE_SILENT: EventEntry(
        "No message from another data centre has arrived for a long time, or requests of a sidecar "
        "to several of its members in a row could not reach them.",
        fields=("other_data_centre",),
        reaction="check the network between the data centres",
    ),
    LogEvent.DATA_CENTRE_HEARD: EventEntry(
        "Messages from a silent data centre arrive again.", fields=("other_data_centre",)
    ),
    LogEvent.PAUSE_NOTICED: EventEntry(
        "The daemon itself was paused for a while, so it suspects no other daemon of failure.",
        fields=("seconds",),
        reaction="if it recurs, check the load of the VM",
    ),
    LogEvent.RELAY_FOLLOWED: EventEntry(
        "This sidecar gets the store's changes from another sidecar.",
        fields=("relay", "revision"),
    ),
    LogEvent.RELAY_DISTRUSTED: EventEntry(
        "This sidecar gets no changes from a relay for a while, but from another or the store.",
        fields=("relay", "reason", "revision", "seconds"),
        reaction="nothing, unless one relay is named for minutes: check its VM",
    ),
    LogEvent.STORE_UNAVAILABLE: EventEntry(
        "The platform's store does not respond to this daemon; the applied configuration stays.",
        fields=("reason",),
        reaction="inform the platform's operators if several daemons report it",
    ),
    LogEvent.STORE_AVAILABLE: EventEntry("The platform's store responds again."),
    LogEvent.STORE_RESTORED: EventEntry(
        "The platform's store came back from an older copy; this sidecar reads it anew.",
        fields=("era", "era_before", "revision"),
        reaction="see docs/OPERATIONS.md; write again what was written shortly before",
    ),
    LogEvent.STORE_COPY_READ: EventEntry(
        "This sidecar has read all items of a store that came back from an older copy.",
        fields=("era", "revision", "revision_before", "gone", "older"),
    ),
    LogEvent.STORE_ERA_ODD: EventEntry(
        "The platform's store told no usable era; its responses count as of the known one.",
        fields=("reason",),
        reaction="inform the platform's operators",
    ),
    LogEvent.STORE_ITEMS_READ: EventEntry(
        "This sidecar has read all items of the store over its own link, instead of the changes: "
        "how many, the bytes of their values, how long that took, and how old the local copy was.",
        fields=("items", "size", "seconds", "copy_age_s"),
        reaction="if many VMs log it in the same second, look for what their relays had in common",
    ),
    LogEvent.SERVER_EJECTED: EventEntry(
        "This daemon sends no calls to a backend server for a while, because of its failures.",
        fields=("service", "server"),
        reaction="check the backend server if several daemons report it",
    ),
    LogEvent.REQUEST_ANSWERED: EventEntry(
        "A caller got a backend server's response.",
        fields=(
            "id",
            "route",
            "service",
            "version",
            "nested",
            "status",
            "attempts",
            "seconds",
            "member",
        ),
    ),
    LogEvent.REQUEST_REFUSED: EventEntry(
        "A request was refused and is known not to have run.",
        fields=(
            "id",
            "route",
            "service",
            "version",
            "status",
            "reason",
            "attempts",
            "seconds",
            "retry_after_s",
        ),
        reaction="read the reason; many at once mean that the service has too little capacity",
    ),
    LogEvent.REQUEST_FAILED: EventEntry(
        "A request ended without a backend server's response and may have run.",
        fields=(
            "id",
            "route",
            "service",
            "version",
            "nested",
            "status",
            "reason",
            "attempts",
            "seconds",
        ),
        reaction="look up the identifier in the gate's log entries",
    ),
    LogEvent.REQUEST_CANCELLED: EventEntry(
        "The caller disconnected before its response.",
        fields=("id", "route", "seconds", "attempts"),
    ),
    LogEvent.CLIENTS_CLOSED: EventEntry(
        "How many clients were turned away within a second, by the limit that they exceeded.",
        fields=("connections", "framing", "head_time", "memory", "rate", "stall"),
        reaction="if these are ordinary callers, see docs/OPERATIONS.md, Limits on clients",
    ),
    LogEvent.ATTEMPT_ENDED: EventEntry(
        "A gate returned a response from its backend server.",
        fields=("id", "member", "release", "status", "seconds"),
    ),
    LogEvent.ATTEMPT_FAILED: EventEntry(
        "An attempt at a request got no backend server's response from the gate.",
        fields=("id", "member", "release", "outcome", "reason", "busy", "report_age_s", "seconds"),
    ),
    LogEvent.GATE_ANSWERED: EventEntry(
        "The backend server answered a request.",
        fields=("id", "route", "instance", "release", "status", "queue_s", "server_s"),
    ),
    LogEvent.GATE_REFUSED: EventEntry(
        "The gate refused to admit a request.",
        fields=(
            "id",
            "route",
            "instance",
            "reason",
            "running",
            "waiting",
            "mean_s",
            "time_left_s",
            "queue_s",
            "limit_per_s",
        ),
    ),
    LogEvent.GATE_FAILED: EventEntry(
        "A request may have run on the backend server and there is no response. If its connection "
        "broke, `fingerprint` is the same for equal requests, and `server_ended` says whether the "
        "server's process has ended.",
        fields=(
            "id",
            "route",
            "instance",
            "release",
            "reason",
            "queue_s",
            "server_s",
            "fingerprint",
            "server_ended",
        ),
        reaction="if one fingerprint recurs with ended servers, look at that request",
    ),
    LogEvent.SERVER_STARTED: EventEntry(
        "The first heartbeat arrived from an incarnation of the backend server beside this daemon.",
        fields=("instance", "born", "service", "release", "slots", "cold_s"),
    ),
    LogEvent.SERVER_LEAVING: EventEntry(
        "The backend server accepts no new requests; the gate refuses them from now on.",
        fields=("instance", "born", "sequence", "source"),
    ),
    LogEvent.SERVER_GONE: EventEntry(
        "The backend server has left permanently.", fields=("instance", "born")
    ),
    LogEvent.HEARTBEAT_REFUSED: EventEntry(
        "A heartbeat was rejected.",
        fields=("instance", "reason"),
        reaction="look for another process that sends heartbeats if it persists",
    ),
    LogEvent.SERVER_LIMIT_CHANGED: EventEntry(
        "The rate limit that the backend server names in its responses appeared, changed or ended; "
        "no `limit_per_s` means no limit. The source is `response`, or `peer` where a restarted "
        "gate learnt it from another sidecar.",
        fields=("instance", "born", "limit_per_s", "previous_per_s", "source", "age_s", "waiting"),
        reaction="if it lasts, ask the service's team why the server is in need",
    ),
    LogEvent.SERVER_LIMIT_REFUSED: EventEntry(
        "The backend server named a rate limit that is no positive number; the known limit stays.",
        fields=("instance", "value", "limit_per_s"),
        reaction="report it to the service's team",
    ),
    LogEvent.PACING_BEGAN: EventEntry(
        "The gate limits the requests in progress at the own backend server to `limit` of its "
        "slots and raises that by how the server answers. The source is `start`, `cold` for a "
        "heartbeat that reports a cold phase, or `answers` after an outage.",
        fields=("instance", "source", "limit", "slots"),
        reaction="with the source `answers` again and again: find out why the server goes away",
    ),
    LogEvent.PACING_ENDED: EventEntry(
        "The own backend server has borne all of its slots; the gate's limit ends.",
        fields=("instance", "slots", "seconds"),
    ),
    LogEvent.SERVER_COLD: EventEntry(
        "The backend server is cold and gets few requests: by a `heartbeat` or its `health` path, "
        "or presumably, until it says otherwise: after an `evacuation`, a `refused` or `reset` "
        "connection, when it `returned` after that, or since it is `slow`.",
        fields=("instance", "seconds", "source", "limit_per_s", "waiting"),
        reaction="if `server_warm` often follows one sign at once, that sign misleads: report it",
    ),
    LogEvent.SERVER_WARM: EventEntry(
        "The backend server says that it is not cold, earlier than expected here.",
        fields=("instance", "source"),
    ),
    LogEvent.MEMBER_CHANGED: EventEntry(
        "A sidecar's record appeared or changed.",
        fields=("member", "service", "release", "instance", "leaving", "revision"),
    ),
    LogEvent.MEMBER_REMOVED: EventEntry(
        "A sidecar is removed and gets no more requests.", fields=("member", "reason", "revision")
    ),
    LogEvent.MEMBER_LAPSED: EventEntry(
        "A sidecar's record is gone from the store; the sidecar gets requests a little longer.",
        fields=("member", "revision"),
    ),
    LogEvent.MEMBER_UNREACHABLE: EventEntry(
        "A sidecar could not be reached and is avoided for a while.",
        fields=("member", "reason", "avoid_s"),
    ),
    LogEvent.REGISTRATION_CHANGED: EventEntry(
        "This daemon's record was written to the store or removed.",
        fields=("instance", "leaving", "revision", "conflicts"),
    ),
    LogEvent.REGISTRATION_LOST: EventEntry(
        "The lease of this daemon's record has ended; the record is written again.",
        fields=("lease",),
    ),
    LogEvent.ENTRY_REFUSED: EventEntry(
        "An item in the store can't be decoded and is ignored.",
        fields=("key", "revision", "reason"),
        reaction="look for another writer of this key",
    ),
    LogEvent.ORDER_SEEN: EventEntry(
        "An operator ordered a takeover.", fields=("service", "release", "duration_s", "revision")
    ),
    LogEvent.TAKEOVER_CHANGED: EventEntry(
        "A takeover's share or phase changed, or its leader wrote the answers seen so far.",
        fields=(
            "service",
            "release",
            "phase",
            "share",
            "elapsed_s",
            "answers",
            "failures",
            "reason",
            "revision",
        ),
        reaction="if it was rolled back, read the reason",
    ),
    LogEvent.RELEASE_STOPPED: EventEntry(
        "The gates of a release refuse its requests, before the record of the takeover says so.",
        fields=("service", "release", "reason", "revision"),
        reaction=(
            "read the reason; the takeover is rolled back as soon as the store can be written, or, "
            "after it was completed, another release has to be ordered"
        ),
    ),
    LogEvent.EVACUATION_ORDERED: EventEntry(
        "The store has an order to evacuate a data centre: its servers get no further requests.",
        fields=("name", "own", "waiting", "revision"),
        reaction="if all data centres are evacuated, all requests are refused: remove an order",
    ),
    LogEvent.EVACUATION_ENDED: EventEntry(
        "The order to evacuate a data centre was removed: its servers get requests again.",
        fields=("name", "own", "waiting", "revision"),
    ),
    LogEvent.EVACUATION_HEARD: EventEntry(
        "A gate refused a request because of an order that has not reached this sidecar yet; the "
        "data centre is avoided for a short time.",
        fields=("name", "member", "revision"),
        reaction="if it recurs, find out why this sidecar's copy of the store is old",
    ),
    LogEvent.RANGE_ACQUIRED: EventEntry(
        "This daemon is now the holder of a range of idempotency keys.", fields=("range",)
    ),
    LogEvent.RANGE_LOST: EventEntry(
        "This daemon is no longer the holder of a range of idempotency keys.",
        fields=("range", "reason"),
    ),
    LogEvent.REQUEST_BLOCKED: EventEntry(
        "A request that crashed several backend servers is refused from now on.",
        fields=("fingerprint", "servers", "seconds"),
        reaction="check the service's backend servers and the request",
    ),
    LogEvent.REQUEST_SUSPECTED: EventEntry(
        "A backend server ended, or seems to have ended, while it ran a request. The source is "
        "`gate` if its own sidecar found that out, `hop` if another sidecar lost its connection.",
        fields=("fingerprint", "service", "server", "servers", "source"),
        reaction="nothing, unless the same fingerprint is blocked later",
    ),
    LogEvent.REQUEST_CLEARED: EventEntry(
        "A request was answered, or a server runs that seemed to have ended under it.",
        fields=("fingerprint", "service", "servers", "reason"),
    ),
    LogEvent.FINDINGS_UNSHARED: EventEntry(
        "What is known of servers that ended under requests could not be exchanged with the store "
        "or with another sidecar; it is tried again.",
        fields=("other", "reason"),
        reaction="nothing, unless the store or that sidecar is named for minutes",
    ),
    LogEvent.TEAM_OVER_QUOTA: EventEntry(
        "Requests of a team are refused here, since it is over its quota.",
        fields=("team", "rate_per_s"),
        reaction="nothing, unless the team is within its quota by the requests of all VMs; then "
        "look for `quota_coordinator_silent`",
    ),
    LogEvent.TEAM_WITHIN_QUOTA: EventEntry(
        "A team's requests are admitted again, and none was refused here for 5 s.",
        fields=("team",),
    ),
    LogEvent.QUOTA_COORDINATORS_CHANGED: EventEntry(
        "Other sidecars divide the teams' quotas from now on.",
        fields=("members", "version", "revision"),
        reaction="nothing, unless it recurs: for 21 s after it, what sidecars may use can be moved "
        "between them but not raised",
    ),
    LogEvent.QUOTA_COORDINATOR_SILENT: EventEntry(
        "A coordinator does not answer; what it granted before holds for up to 16 s.",
        fields=("member",),
        reaction="check that VM, and the link to it, if it does not answer again",
    ),
    LogEvent.QUOTA_COORDINATOR_HEARD: EventEntry(
        "A coordinator answers again.", fields=("member",)
    ),
    LogEvent.CHANGE_ACCEPTED: EventEntry(
        "A team's change was accepted through this daemon.",
        fields=("team", "version", "publish_id"),
    ),
    LogEvent.CHANGE_REFUSED: EventEntry(
        "A team's change was refused by this daemon.",
        fields=("team", "code", "reason"),
        reaction="nothing, unless MS-603 recurs: then find out who is guessing tokens",
    ),
    LogEvent.SHARE_RAISED: EventEntry(
        "This daemon applied a raised share of a takeover.", fields=TAKEOVER_FIELDS
    ),
    LogEvent.SHARE_LOWERED: EventEntry(
        "A takeover's share was lowered, because the new release did worse than before.",
        fields=TAKEOVER_FIELDS,
        reaction="nothing yet: the share is raised again, or the release is rolled back",
    ),
    LogEvent.TAKEOVER_COMPLETED: EventEntry(
        "A takeover is complete: every call goes to the new release.",
        fields=TAKEOVER_FIELDS,
        reaction="publish the new release as `serving`, without the takeover",
    ),
    LogEvent.TAKEOVER_REVERSED: EventEntry(
        "A takeover was rolled back: every call goes to the old release.",
        fields=TAKEOVER_FIELDS,
        reaction="read `magnoliasill rollouts SERVICE`, and fix the release",
    ),
    LogEvent.CONTROL_ACQUIRED: EventEntry(
        "This daemon controls the takeover of a service.", fields=("service", "generation")
    ),
    LogEvent.CONTROL_LOST: EventEntry(
        "This daemon no longer controls the takeover of a service; another daemon will.",
        fields=("service",),
    ),
    LogEvent.SYSTEM_FAILED: EventEntry(
        "The daemon failed to handle one event, action or item and continues to serve.",
        fields=("event_kind", "reason"),
        reaction="report it with the reason: it is a defect",
    ),
}
