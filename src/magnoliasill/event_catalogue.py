"""The catalogue of log events: what each means, its fields, and what to do."""

from __future__ import annotations

import attrs

from .codes import LogEvent


@attrs.frozen
class EventEntry:
    """The explanation of one kind of log event.

    Attributes:
        meaning: What happened.
        fields: The names of its fields, in any order.
        reaction: What the person on call does.
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
        "A signal asked the daemon to stop; it takes no more calls.", fields=("open_calls",)
    ),
    LogEvent.DAEMON_STOPPED: EventEntry(
        "The daemon has stopped.",
        fields=("open_calls",),
        reaction="where `open_calls` is not 0, raise `--drain-ms`",
    ),
    LogEvent.DAEMON_REFUSED: EventEntry(
        "The daemon can't start.",
        fields=("code", "reason", "advice"),
        reaction="correct the setting that the reason names",
    ),
    LogEvent.CONFIGURATION_APPLIED: EventEntry(
        "A newer configuration is in force on this daemon.", fields=("version", "publish_id")
    ),
    LogEvent.CONFIGURATION_REFUSED: EventEntry(
        "A newer configuration was refused whole; the one in force stays.",
        fields=("version", "code", "reason"),
        reaction="publish a corrected version; the code says what was wrong",
    ),
    LogEvent.JOIN_COMPLETED: EventEntry(
        "After its start the daemon heard enough to put a configuration in force.",
        fields=("reason", "answers", "floor"),
    ),
    LogEvent.CONFIRMATION_MISSING: EventEntry(
        "A configuration is in force before other daemons confirmed that they hold it.",
        fields=("version", "witnesses"),
        reaction="look for unreachable daemons of this data centre",
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
        "A daemon was not heard of for some time.", fields=("member", "member_data_centre")
    ),
    LogEvent.MEMBER_FAILED: EventEntry(
        "A daemon is taken to be gone; its backend server gets no more work.",
        fields=("member", "member_data_centre"),
        reaction="look at its VM where it does not return",
    ),
    LogEvent.MEMBER_LEFT: EventEntry(
        "A daemon has stopped gracefully.", fields=("member", "member_data_centre")
    ),
    LogEvent.MESSAGE_REFUSED: EventEntry(
        "A message on the peer port was malformed or of another wire version.",
        fields=("reason",),
        reaction="look for daemons of another version, or for a stranger on the peer port",
    ),
    LogEvent.SERVER_SILENT: EventEntry(
        "The backend server on this VM no longer announces itself; it gets no more work.",
        fields=("service", "server_address"),
        reaction="look at the backend server",
    ),
    LogEvent.DATA_CENTRE_SILENT: EventEntry(
        "Nothing was heard from another data centre for long.",
        fields=("other_data_centre",),
        reaction="look at the network between the data centres",
    ),
    LogEvent.DATA_CENTRE_HEARD: EventEntry(
        "A silent data centre is heard again.", fields=("other_data_centre",)
    ),
    LogEvent.PAUSE_NOTICED: EventEntry(
        "The daemon itself did not run for a while, and blames nobody for the silence.",
        fields=("seconds",),
        reaction="where it repeats, look at the load of the VM",
    ),
    LogEvent.STORE_UNAVAILABLE: EventEntry(
        "The platform's store does not answer this daemon; the configuration in force stays.",
        reaction="tell the platform's operators where several daemons say so",
    ),
    LogEvent.STORE_AVAILABLE: EventEntry("The platform's store answers again."),
    LogEvent.SERVER_EJECTED: EventEntry(
        "This daemon sends no calls to a backend server for a while, for its failures.",
        fields=("service", "server"),
        reaction="look at the backend server where several daemons say so",
    ),
    LogEvent.RANGE_ACQUIRED: EventEntry(
        "This daemon keeps the idempotency keys of a range.", fields=("range",)
    ),
    LogEvent.RANGE_LOST: EventEntry(
        "This daemon no longer keeps the idempotency keys of a range.", fields=("range", "reason")
    ),
    LogEvent.REQUEST_BLOCKED: EventEntry(
        "A request that ended several backend servers is refused from now on.",
        fields=("fingerprint", "servers", "seconds"),
        reaction="look at the service's backend servers and at the request",
    ),
    LogEvent.CHANGE_ACCEPTED: EventEntry(
        "A team's change was accepted through this daemon.",
        fields=("team", "version", "publish_id"),
    ),
    LogEvent.CHANGE_REFUSED: EventEntry(
        "A team's change was refused by this daemon.",
        fields=("team", "code", "reason"),
        reaction="nothing, unless MS-603 repeats: then look for who tries tokens",
    ),
    LogEvent.SHARE_RAISED: EventEntry(
        "This daemon follows a raise of a takeover's share.", fields=TAKEOVER_FIELDS
    ),
    LogEvent.SHARE_LOWERED: EventEntry(
        "A takeover's share was lowered, since the new release did worse than before.",
        fields=TAKEOVER_FIELDS,
        reaction="nothing at once: it is raised again, or the release is taken back",
    ),
    LogEvent.TAKEOVER_COMPLETED: EventEntry(
        "A takeover is complete: every call goes to the new release.",
        fields=TAKEOVER_FIELDS,
        reaction="publish the new release as `serving`, without the takeover",
    ),
    LogEvent.TAKEOVER_REVERSED: EventEntry(
        "A takeover was taken back: every call goes to the old release.",
        fields=TAKEOVER_FIELDS,
        reaction="read `magnoliasill rollouts SERVICE`, and repair the release",
    ),
    LogEvent.CONTROL_ACQUIRED: EventEntry(
        "This daemon controls the takeover of a service.", fields=("service", "generation")
    ),
    LogEvent.CONTROL_LOST: EventEntry(
        "This daemon no longer controls the takeover of a service; another one will.",
        fields=("service",),
    ),
    LogEvent.SYSTEM_FAILED: EventEntry(
        "The daemon failed to handle one event and serves on.",
        fields=("event_kind", "reason"),
        reaction="report it with the reason: it is a defect",
    ),
}
