"""The answer to the question where a request would go, as the tool reads it."""

from __future__ import annotations

import attrs


@attrs.frozen
class Candidate:
    """A backend server of one of the route's services.

    Attributes:
        member: The name of its VM.
        data_centre: Its data centre.
        service: Its service.
        release: Its release.
        release_share: The share of the service's requests that this release may get.
        share: The share of the repeated choices that it got.
        expected_s: The expected seconds until it has served the request, with penalties.
        busy: The requests that ran or waited at its gate, by its latest report.
        in_flight: This sidecar's requests to it that have no answer yet.
        slots: The requests that its gate lets run at once, as far as known.
        pace: The durations of its requests as a multiple of those at its peers.
        failing: The share of failed answers, by its latest report.
        report_age_s: The seconds since that report, or None if there was none.
        excluded: Why it gets no request (`mesh.exclusions.Exclusion`), or empty.
        excluded_s: The seconds for which that holds, or None if that is not known.
    """

    member: str
    data_centre: str
    service: str
    release: str
    release_share: float
    share: float
    expected_s: float
    busy: int
    in_flight: int
    slots: int
    pace: float
    failing: float
    report_age_s: float | None
    excluded: str = ""
    excluded_s: float | None = None


@attrs.frozen
class RefusalForecast:
    """A refusal that a request would get.

    Attributes:
        status: The HTTP status.
        code: The error code.
        reason: Why it would be refused.
        retry_after_s: The range of `Retry-After` in seconds, or None without that header.
    """

    status: int
    code: str
    reason: str
    retry_after_s: tuple[float, float] | None = None


@attrs.frozen
class TeamStanding:
    """The team that a key belongs to, and what is left of its quota.

    Attributes:
        name: The team's name.
        priority: Its priority; 0 is the most urgent.
        rate_per_s: Its quota in requests a second over all sidecars; 0 is no limit.
        left: The requests that may run here now without asking a coordinator; None without limit.
        asks_coordinator: Whether a request beyond these waits for the coordinator's answer.
        retry_after_s: The `Retry-After` of a request that is over the quota, or None.
    """

    name: str
    priority: int
    rate_per_s: float
    left: int | None = None
    asks_coordinator: bool = False
    retry_after_s: float | None = None


@attrs.frozen
class DestinationShare:
    """A service that the route leads to.

    Attributes:
        service: The service.
        weight: Its weight in the configuration.
        share: The share of the repeated choices that it got.
    """

    service: str
    weight: float
    share: float


@attrs.frozen
class WhereAnswer:
    """Where a request would go now.

    Attributes:
        sidecar: The name of the VM that answers.
        data_centre: Its data centre.
        method: The request's method.
        host: The request's host.
        path: The request's path.
        count: How often the choice was repeated.
        version: The version of the configuration, or 0 without one.
        store_age_s: The seconds since the store last confirmed the sidecar's copy.
        shed_share: The share of requests that are refused first, since the process is late.
        route: The route's name, or empty.
        kind: `idempotent` or `non_idempotent`, or empty.
        team: The team, or None.
        destinations: The services that the route leads to.
        chosen: The VM of the server that was chosen first, or empty.
        release: The release of that server.
        unserved: The share of the choices that found no server.
        evacuated: The data centres whose servers get no requests.
        candidates: The servers of these services.
        refusal: The refusal that the request gets now, or None.
        otherwise: The refusal that it gets if no server takes it, or None if that is `refusal`.
    """

    sidecar: str
    data_centre: str
    method: str
    host: str
    path: str
    count: int
    version: int
    store_age_s: float
    shed_share: float = 0.0
    route: str = ""
    kind: str = ""
    team: TeamStanding | None = None
    destinations: list[DestinationShare] = attrs.field(factory=list)
    chosen: str = ""
    release: str = ""
    unserved: float = 0.0
    evacuated: list[str] = attrs.field(factory=list)
    candidates: list[Candidate] = attrs.field(factory=list)
    refusal: RefusalForecast | None = None
    otherwise: RefusalForecast | None = None
