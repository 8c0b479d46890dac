"""Finds out where a request would go now, by the decisions of real requests; changes no state."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import attrs
import eventlet

from ..calls.error_responses import DEFAULT_RETRY_AFTER_S, find_status
from ..codes import ErrorCode
from ..errors import CallError
from ..mesh.access import AccessOutcome
from ..mesh.candidates import Survey, copy_members, describe_candidates
from ..mesh.evacuations import list_evacuated
from ..mesh.loop_lag import find_refusal_share
from ..mesh.placement import choose_member, choose_release_members, find_limit_wait
from ..mesh.quotas import TeamUse, compute_quota, count_left, estimate_retry_after
from ..mesh.retry_after import RetryAfterState, count_arrival, find_retry_after_range
from ..mesh.routes import SplitTable, choose_destination, find_route
from ..mesh.where_answer import DestinationShare, RefusalForecast, TeamStanding, WhereAnswer
from .caller_port import STOPPING_RETRY_AFTER_S
from .placements import PlacedRequest, Search, build_placement, widen_search, will_be_late
from .quota_reports import UNKNOWN_RETRY_AFTER_S, find_share
from .state import find_own_lag, find_request_wait_left, is_closing
from .store_relay import find_store_age
from .team_access import OUTDATED_RETRY_AFTER_S, read_access

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..mesh.members import Member, MemberTable
    from ..mesh.routes import Route, RouteTable, Team
    from .state import Sidecar

CHOICES_PER_TURN = (
    20  # before other work of the process runs; 0.2 to 0.4 ms with 3 servers a service
)


@attrs.frozen
class Question:
    """A request whose way is asked for.

    Attributes:
        method: Its method.
        host: Its host.
        path: Its path, without a query.
        count: How often the choice is repeated.
        headers: The headers that may hold its key.
    """

    method: str
    host: str
    path: str
    count: int = 1
    headers: Sequence[tuple[str, str]] = attrs.field(default=(), repr=False)


@attrs.define
class _Copies:
    """Copies of the state that choices change.

    Attributes:
        members: The member table.
        splits: The state of traffic splits.
        random: The generator.
    """

    members: MemberTable
    splits: SplitTable
    random: Random


def find_destination(sidecar: Sidecar, question: Question) -> WhereAnswer:
    """Return where a request would go now.

    Args:
        sidecar: The sidecar's state.
        question: The request.

    Raises:
        CallError: If its key belongs to no team.
    """
    table = sidecar.table
    answer = WhereAnswer(
        sidecar=sidecar.settings.name,
        data_centre=sidecar.settings.data_centre,
        method=question.method,
        host=question.host,
        path=question.path,
        count=question.count,
        version=table.version if table else 0,
        store_age_s=round(find_store_age(sidecar), 3),
        shed_share=round(find_refusal_share(find_own_lag(sidecar)), 3),
        evacuated=sorted(list_evacuated(sidecar.evacuations, sidecar.clock())),
    )
    if table is None or is_closing(sidecar):
        if table is None:
            reason, wait_s = "the daemon has no active configuration yet", DEFAULT_RETRY_AFTER_S
        else:
            reason, wait_s = "the daemon is stopping", STOPPING_RETRY_AFTER_S
        refusal = _forecast(ErrorCode.NOT_READY, reason, (wait_s, wait_s))
        return attrs.evolve(answer, refusal=refusal)
    route = find_route(table, question.host, question.path.partition("?")[0])
    if route is None:
        return attrs.evolve(answer, refusal=_forecast(ErrorCode.ROUTE_UNKNOWN, "no route"))
    kind = "idempotent" if route.idempotent else "non_idempotent"
    answer = attrs.evolve(answer, route=route.name, kind=kind)
    return _find_by_route(sidecar, table, route, question, answer)


def _find_by_route(
    sidecar: Sidecar, table: RouteTable, route: Route, question: Question, answer: WhereAnswer
) -> WhereAnswer:
    access = read_access(sidecar, table, route, question.headers, nested=False)
    if access.outcome is AccessOutcome.KEY_UNKNOWN:
        raise CallError(ErrorCode.TEAM_KEY_UNKNOWN, "the request's key belongs to no team")
    if access.outcome is AccessOutcome.COPY_OUTDATED:
        reason = "it is not known whether the request's key is valid"
        waits_s = (OUTDATED_RETRY_AFTER_S, 2 * OUTDATED_RETRY_AFTER_S)
        return attrs.evolve(answer, refusal=_forecast(ErrorCode.NOT_READY, reason, waits_s))
    team = access.team and _find_standing(sidecar, access.team)
    answer = attrs.evolve(answer, team=team)
    answer = _survey_servers(sidecar, route, question, answer)
    deadline = sidecar.clock() + route.timeout_s
    if find_request_wait_left(sidecar, route.name, deadline) <= 0:
        reason = "the daemon stops before the request can be expected to finish"
        waits_s = (STOPPING_RETRY_AFTER_S, STOPPING_RETRY_AFTER_S)
        return attrs.evolve(answer, refusal=_forecast(ErrorCode.NOT_READY, reason, waits_s))
    if team is not None and team.left == 0 and not team.asks_coordinator:
        if sidecar.quotas.listed is None:
            reason, wait_s = "no coordinator of quotas is known yet", UNKNOWN_RETRY_AFTER_S
            refusal = _forecast(ErrorCode.NOT_READY, reason, (wait_s, wait_s))
            return attrs.evolve(answer, refusal=refusal)
        waits_s = (team.retry_after_s, team.retry_after_s)
        refusal = _forecast(ErrorCode.TEAM_OVER_QUOTA, "the team is over its quota", waits_s)
        return attrs.evolve(answer, refusal=refusal)
    return answer


def _find_standing(sidecar: Sidecar, team: Team) -> TeamStanding:
    """Return what is left here of a team's quota."""
    if team.rate_per_s <= 0:
        return TeamStanding(team.name, team.priority, team.rate_per_s)
    bounds, now = sidecar.settings.bounds, sidecar.clock()
    use, quota = sidecar.quotas.uses.get(team.name) or TeamUse(), compute_quota(team, bounds)
    share = find_share(sidecar, team, quota)
    return TeamStanding(
        name=team.name,
        priority=team.priority,
        rate_per_s=team.rate_per_s,
        left=count_left(use, quota.capacity, share, bounds.quota_window_s, now),
        asks_coordinator=now >= use.refused_until and sidecar.quotas.listed is not None,
        retry_after_s=round(estimate_retry_after(use, bounds.quota_window_s, now), 3),
    )


def _survey_servers(
    sidecar: Sidecar, route: Route, question: Question, answer: WhereAnswer
) -> WhereAnswer:
    """Repeat the choice of a server and describe what it was made from."""
    copies = _copy_state(sidecar)
    surveys: dict[str, Survey] = {}
    services: Counter[str] = Counter()
    chosen: list[Member | None] = []
    for number in range(question.count):
        if number and number % CHOICES_PER_TURN == 0:
            eventlet.sleep(0)
        request = _place_request(sidecar, copies, route)
        services[request.service] += 1
        chosen.append(_choose_server(sidecar, copies, request, surveys))
    for service in [each.service for each in route.destinations if each.service not in services]:
        _choose_server(sidecar, copies, _place_request(sidecar, copies, route, service), surveys)
        surveys[service].picks.clear()
    otherwise = _forecast_refusal(sidecar, copies, route, next(iter(surveys.values())))
    member = chosen[0]
    return attrs.evolve(
        answer,
        destinations=[
            DestinationShare(each.service, each.weight, services[each.service] / question.count)
            for each in route.destinations
        ],
        chosen=member.name if member else "",
        release=member.release if member else "",
        unserved=chosen.count(None) / question.count,
        candidates=[
            candidate
            for survey in surveys.values()
            for candidate in describe_candidates(copies.members, survey, question.count)
        ],
        refusal=None if member else otherwise,
        otherwise=otherwise if member else None,
    )


def _copy_state(sidecar: Sidecar) -> _Copies:
    random = Random()
    random.setstate(sidecar.random.getstate())
    credits = {key: list(values) for key, values in sidecar.splits.credits.items()}
    return _Copies(copy_members(sidecar.members), SplitTable(credits), random)


def _place_request(
    sidecar: Sidecar, copies: _Copies, route: Route, service: str = ""
) -> PlacedRequest:
    """Return a request of a caller that has the route's whole time left and arrives now."""
    arrived_at = sidecar.clock() - find_own_lag(sidecar)
    return PlacedRequest(
        service=service or choose_destination(copies.splits, route, copies.random),
        route=route.name,
        nested=False,
        target_at=arrived_at + route.target_s,
        answer_deadline=arrived_at + route.timeout_s,
    )


def _choose_server(
    sidecar: Sidecar, copies: _Copies, request: PlacedRequest, surveys: dict[str, Survey]
) -> Member | None:
    """Choose a server as the first attempt of a request does."""
    search = Search(late=will_be_late(sidecar, request.route, request.target_at))
    while True:
        context = build_placement(sidecar, request, search)
        candidates = choose_release_members(copies.members, context, copies.random)
        member = choose_member(copies.members, candidates, context, copies.random)
        survey = surveys.setdefault(request.service, Survey(context, {}, Counter()))
        survey.context = context
        survey.eligible.update({each.name: each for each in candidates})
        if member is not None:
            survey.picks[member.name] += 1
            return member
        if not widen_search(search):
            return None


def _forecast_refusal(
    sidecar: Sidecar, copies: _Copies, route: Route, survey: Survey
) -> RefusalForecast:
    """Return the refusal of a request that no server takes."""
    service, now = survey.context.service, sidecar.clock()
    state = attrs.evolve(sidecar.retry_after_states.get(service, RetryAfterState()))
    count_arrival(state, now)
    candidates = list(survey.eligible.values())
    limit_wait = find_limit_wait(copies.members, candidates, survey.context)
    code, reason = ErrorCode.NO_SERVER, f"no backend server of {service} accepts requests"
    if limit_wait is not None:
        code = ErrorCode.OVERLOADED
        reason = f"all backend servers of {service} are at their rate limits"
    left_s = route.timeout_s - find_own_lag(sidecar)
    return _forecast(code, reason, find_retry_after_range(state, left_s, limit_wait))


def _forecast(
    code: ErrorCode, reason: str, waits_s: tuple[float, float] | None = None
) -> RefusalForecast:
    rounded = None if waits_s is None else (round(waits_s[0], 3), round(waits_s[1], 3))
    return RefusalForecast(find_status(code), code.value, reason, rounded)
