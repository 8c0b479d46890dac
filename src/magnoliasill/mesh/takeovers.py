"""Takeovers: the share of requests of each release of a service, and how a takeover ends."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from .evidence import Tally, Verdict
from .fields import Count, Number, Share  # noqa: TC001 - msgspec evaluates it

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .settings import Bounds

OBSERVATION_SHARE = 0.015  # of a release while the rate of requests is unknown; the lowest planned
MAX_OBSERVATION_SHARE = 0.3
OBSERVATION_ANSWERS = 45  # that a release should have given when its share begins to rise
SUFFICIENT_SHARE = 0.06  # under observation; a higher one is needed only for enough answers
# Under observation at that share, a release with so many answers is judged by them. It needs them
# and the whole ramp, since slow answers are known late.
JUDGED_ANSWERS = 90
EXPOSURE_RESERVE = 8.0  # requests that arrive between two evaluations
MIN_SHARE_CHANGE = 1.2  # factor; each change of the share is a write to the store
RAMP = ((0.2, 1.0), (0.6, 0.8), (1.0, 0.6))  # shares, each with the seconds spent at it
RAMP_EXPOSURE_SHARE = 0.6  # of the exposure until the completion; the rest is for the observation
RAMP_S = sum(seconds for _, seconds in RAMP)
MIN_STEP_S = 0.3  # an evaluation, and the write of the next share
MARGIN_S = 0.7  # before the deadline, for a slow write to the store and the operator's read of it
MARGIN_SHARE = 0.1  # of the duration, if that is less than `MARGIN_S`
# Part of a ramp step that must have passed since its share was published. Without it, a leader that
# begins late would raise the share and complete the takeover before answers at that share arrive.
MIN_STEP_SHARE = 0.7
MIN_STEP_ANSWERS = 1 / 3  # of those that the share of the traffic would bring in a step
# With fewer answers per second a takeover ends before anything could be proven.
MIN_PROOF_RATE_PER_S = 10.0
# A release whose proof is missing at the deadline is waited for, since its counts may be lost.
PROOF_WAIT_S = 8.0
REVIEW_S = 30.0  # after the completion, in which the release goes on being judged


@attrs.frozen
class Order:
    """An operator's order to move a service to another release.

    Attributes:
        service: The service.
        release: The release that takes over.
        duration_s: Seconds within which the takeover has to be decided.
    """

    service: str
    release: str
    duration_s: float


class Phase(Enum):
    """The phase of a takeover."""

    RUNNING = "running"
    COMPLETED = "completed"
    TAKEN_BACK = "taken_back"
    STOPPED = "stopped"  # found bad after the completion, when no other release had servers


@attrs.frozen
class Takeover:
    """The state of a takeover, published by the leader: the one sidecar that decides on takeovers.

    Attributes:
        service: The service.
        release: The release that takes over.
        order_revision: The position of the order in the store's history.
        phase: The phase.
        share: The release's share of the service's requests.
        elapsed_s: Seconds from the order to the publication of this phase and share.
        age_s: Seconds from the order to the latest write of the record.
        answered: The answers of the release when this share was published.
        retired: Releases that get no requests: an earlier takeover replaced them, rolled them back,
            or was superseded before it completed.
        reason: The human-readable reason of the decision.
        before: The answers of the established releases until that write, by route. They outlive the
            processes that counted.
        after: The same of the release that takes over.
        rate_per_s: The answers per second of all releases at that write, None if not known.
    """

    service: str
    release: str
    order_revision: Count
    phase: Phase = Phase.RUNNING
    share: Share = 0.0
    elapsed_s: Number = 0.0
    age_s: Number = 0.0
    answered: Count = 0
    retired: tuple[str, ...] = ()
    reason: str = ""
    before: dict[str, Tally] = attrs.field(factory=dict)
    after: dict[str, Tally] = attrs.field(factory=dict)
    rate_per_s: Number | None = None


@attrs.frozen
class ReleaseStop:
    """The stop of a release that its gates keep to before the record of the takeover says so.

    Attributes:
        service: The service.
        release: The release that gets no more requests.
        order_revision: The position of the order that it was to take over by.
        reason: The human-readable reason.
    """

    service: str
    release: str
    order_revision: Count
    reason: str = ""


@attrs.frozen
class Course:
    """The planned shares of a release that nothing is found against.

    Attributes:
        observation_share: The share until the ramp begins.
        scale: The factor of the seconds at each step of the ramp.
    """

    observation_share: float = OBSERVATION_SHARE
    scale: float = 1.0


@attrs.frozen
class TakeoverObservation:
    """The inputs of a decision on a takeover.

    Attributes:
        elapsed_s: Seconds since the order.
        servers: The number of the release's backend servers that take requests.
        verdict: The verdict on the release from its answers.
        reason: The human-readable reason of the verdict.
        is_proven: Whether its answers make it unlikely that the release is bad.
        answers: The number of its answers.
        rate_per_s: The recent answers per second of all releases of the service, None if they were
            not observed for long enough.
        course: The planned shares, from `plan_course`.
        unproven_share: The share that the release may have until the deadline without proof, from
            `find_unproven_share`.
        other_servers: The number of other releases' backend servers that take requests.
    """

    elapsed_s: float
    servers: int
    verdict: Verdict = Verdict.UNCLEAR
    reason: str = ""
    is_proven: bool = True
    answers: int = 0
    rate_per_s: float | None = 0.0
    course: Course = Course()
    unproven_share: float = 1.0
    other_servers: int = 1


def plan_course(duration_s: float, rate_per_s: float | None, bounds: Bounds) -> Course:
    """Return the shares with which a release gives enough answers to be judged.

    In a small service, these are so few that the plan keeps even a bad release that is completed
    within the bounds. The fewer requests it has, the larger a part of them may go to a bad release:
    the bounds allow a number of requests on top of their share of all.

    Args:
        duration_s: Seconds within which the takeover has to be decided.
        rate_per_s: Answers per second of all releases of the service, or None if not known.
        bounds: The guarantees of the deployment.
    """
    scale = _find_ramp_scale(duration_s)
    if not rate_per_s:
        return Course(OBSERVATION_SHARE, scale)
    if SUFFICIENT_SHARE * rate_per_s * (duration_s - RAMP_S) >= JUDGED_ANSWERS:
        return Course(SUFFICIENT_SHARE, scale)
    # seconds in which the release may get all requests before its completion
    exposure_s = _find_exposure(duration_s, rate_per_s, bounds) / rate_per_s
    exposure_s -= _find_margin(duration_s)
    ramp_exposure_s = sum(share * seconds for share, seconds in RAMP)
    scale = max(min(scale, RAMP_EXPOSURE_SHARE * exposure_s / ramp_exposure_s), 0.0)
    steps = _list_steps(scale)
    exposure_s -= sum(share * seconds for share, seconds in steps)
    observation_s = duration_s - _find_margin(duration_s) - sum(seconds for _, seconds in steps)
    if observation_s <= 0.0:
        return Course(OBSERVATION_SHARE, scale)
    needed = max(SUFFICIENT_SHARE, OBSERVATION_ANSWERS / (rate_per_s * observation_s))
    share = min(needed, exposure_s / observation_s, MAX_OBSERVATION_SHARE)
    return Course(max(share, OBSERVATION_SHARE), scale)


def find_unproven_share(
    order: Order, elapsed_s: float, rate_per_s: float | None, answers: int, bounds: Bounds
) -> float:
    """Return the share that a release without proof may have.

    Until its deadline, that is what the bounds leave; then, what a proof takes.

    Args:
        order: The operator's order.
        elapsed_s: Seconds since the order.
        rate_per_s: Answers per second of all releases of the service, or None if not known.
        answers: The number of the release's answers so far.
        bounds: The guarantees of the deployment.
    """
    lowest = RAMP[0][0]
    if not rate_per_s:
        return lowest
    left_s = order.duration_s - elapsed_s
    if left_s <= 0.0:
        return min(max(MIN_PROOF_RATE_PER_S / rate_per_s, lowest), 1.0)
    left = _find_exposure(order.duration_s, rate_per_s, bounds) - answers
    return min(max(left / (rate_per_s * left_s), lowest), 1.0)


def _find_exposure(duration_s: float, rate_per_s: float, bounds: Bounds) -> float:
    """Return the requests that a bad release may get within the duration, less a reserve."""
    allowed = bounds.exposure_share * duration_s * rate_per_s + bounds.exposure_calls
    return allowed - EXPOSURE_RESERVE


def plan_share(duration_s: float, elapsed_s: float, course: Course) -> float:
    """Return the planned share of a release without evidence against it at a given time.

    The share is small for most of the time, because a fault may show late and every request that
    the release gets before then counts as exposure. It rises to 1 in steps shortly before the end.

    Args:
        duration_s: Seconds within which the takeover has to be decided.
        elapsed_s: Seconds since the order.
        course: The shares.
    """
    left_s = duration_s - _find_margin(duration_s) - elapsed_s
    for share, seconds in reversed(_list_steps(course.scale)):
        if left_s <= seconds:
            return share
        left_s -= seconds
    return course.observation_share


def _list_steps(scale: float) -> list[tuple[float, float]]:
    return [(share, max(scale * seconds, MIN_STEP_S)) for share, seconds in RAMP]


def _find_ramp_scale(duration_s: float) -> float:
    return min(1.0, 0.4 * duration_s / RAMP_S)


def decide_takeover(takeover: Takeover, order: Order, observation: TakeoverObservation) -> Takeover:
    """Return the next state of a takeover.

    Args:
        takeover: The state that was published last.
        order: The operator's order.
        observation: The current observation.
    """
    if takeover.phase is Phase.COMPLETED and observation.verdict is Verdict.BAD:
        return _revoke(takeover, observation)
    if takeover.phase is not Phase.RUNNING:
        return takeover
    if observation.verdict is Verdict.BAD:
        return _finish(takeover, Phase.TAKEN_BACK, observation, observation.reason)
    if not observation.servers:
        if observation.elapsed_s >= order.duration_s:
            return _finish(
                takeover, Phase.TAKEN_BACK, observation, "no backend server of it came in time"
            )
        return attrs.evolve(takeover, share=0.0, elapsed_s=observation.elapsed_s)
    margin_s = _find_margin(order.duration_s)
    if takeover.share > 0.0 and observation.verdict is Verdict.DOUBTFUL:
        if observation.elapsed_s < order.duration_s - margin_s / 2:
            return _step_back(takeover, observation)
        reason = f"not proven good in time: {observation.reason}"
        return _finish(takeover, Phase.TAKEN_BACK, observation, reason)
    course = observation.course
    if OBSERVATION_SHARE < takeover.share < RAMP[0][0]:  # is raised once: the rate varies
        course = attrs.evolve(course, observation_share=takeover.share)
    planned = plan_share(order.duration_s, observation.elapsed_s, course)
    if _needs_proof(observation):
        if observation.elapsed_s >= order.duration_s + PROOF_WAIT_S:
            reason = f"not proven good by {observation.answers} answers"
            return _finish(takeover, Phase.TAKEN_BACK, observation, reason)
        planned = min(planned, observation.unproven_share)
        if takeover.share > MIN_SHARE_CHANGE * observation.unproven_share:
            return attrs.evolve(takeover, share=planned, elapsed_s=observation.elapsed_s)
    if not _has_step_passed(takeover, order, observation):
        return takeover
    if takeover.share >= 1.0 and observation.elapsed_s >= order.duration_s - margin_s:
        if _needs_proof(observation):
            return takeover
        reason = "nothing spoke against it in time"
        return _finish(takeover, Phase.COMPLETED, observation, reason)
    share = min(planned, _find_next_share(takeover, course))
    if share <= MIN_SHARE_CHANGE * takeover.share:
        return takeover
    return attrs.evolve(takeover, share=share, elapsed_s=observation.elapsed_s)


def _step_back(takeover: Takeover, observation: TakeoverObservation) -> Takeover:
    """Return to the first step of the ramp, since a release in doubt should get few requests."""
    lowest = RAMP[0][0]
    if takeover.share <= max(lowest, MAX_OBSERVATION_SHARE):
        return takeover
    return attrs.evolve(takeover, share=lowest, elapsed_s=observation.elapsed_s)


def _needs_proof(observation: TakeoverObservation) -> bool:
    """Return whether the release is neither proven good nor its service nearly idle."""
    return not observation.is_proven and _is_busy(observation)


def _is_busy(observation: TakeoverObservation) -> bool:
    """Return whether a service may have enough requests to prove anything in time."""
    return observation.rate_per_s is None or observation.rate_per_s >= MIN_PROOF_RATE_PER_S


def _revoke(takeover: Takeover, observation: TakeoverObservation) -> Takeover:
    """Return to the established release if it still has servers, else only stop the new one."""
    phase = Phase.TAKEN_BACK if observation.other_servers else Phase.STOPPED
    return _finish(takeover, phase, observation, observation.reason)


def _has_step_passed(takeover: Takeover, order: Order, observation: TakeoverObservation) -> bool:
    """Return whether the current share may be raised.

    It must have been published for long enough, and the release must have answered at it, whatever
    became of the processes that counted.
    """
    seconds = dict(_list_steps(observation.course.scale)).get(takeover.share, 0.0)
    if observation.elapsed_s - takeover.elapsed_s < MIN_STEP_SHARE * seconds:
        return False
    if not seconds or not _is_busy(observation):
        return True
    expected = (observation.rate_per_s or 0.0) * takeover.share * MIN_STEP_SHARE * seconds
    needed = max(int(MIN_STEP_ANSWERS * expected), 1)
    return observation.answers - takeover.answered >= needed


def is_under_review(takeover: Takeover, elapsed_s: float) -> bool:
    """Return whether a completed takeover may still be revoked.

    Args:
        takeover: The takeover.
        elapsed_s: Seconds since its order.
    """
    return takeover.phase is Phase.COMPLETED and elapsed_s < takeover.elapsed_s + REVIEW_S


def _find_next_share(takeover: Takeover, course: Course) -> float:
    steps = (course.observation_share, *(share for share, _ in RAMP))
    lowest = MIN_SHARE_CHANGE * takeover.share
    return next((share for share in steps if share > lowest), 1.0)


def _finish(
    takeover: Takeover, phase: Phase, observation: TakeoverObservation, reason: str
) -> Takeover:
    share = 1.0 if phase is Phase.COMPLETED else 0.0
    return attrs.evolve(
        takeover, phase=phase, share=share, elapsed_s=observation.elapsed_s, reason=reason
    )


def _find_margin(duration_s: float) -> float:
    return min(MARGIN_S, MARGIN_SHARE * duration_s)


def start_takeover(
    order: Order, order_revision: int, previous: Takeover | None, releases: Iterable[str]
) -> Takeover:
    """Return the initial state of a takeover.

    Args:
        order: The operator's order.
        order_revision: The position of the order in the store's history.
        previous: The service's previous takeover, or None.
        releases: The releases of the service's current backend servers.
    """
    retired = set(previous.retired) if previous else set()
    if previous is not None and previous.release != order.release:
        if previous.phase is Phase.COMPLETED:
            retired |= set(releases) - {previous.release, order.release}
        else:  # a takeover that was still running gives no proof that its release is good
            retired.add(previous.release)
    retired.discard(order.release)
    return Takeover(order.service, order.release, order_revision, retired=tuple(sorted(retired)))


def is_rising(takeover: Takeover) -> bool:
    """Return whether a release has a share of the ramp."""
    return takeover.phase is Phase.RUNNING and takeover.share >= RAMP[0][0]


def is_taking_over(takeover: Takeover | None, release: str) -> bool:
    """Return whether a takeover to this release runs."""
    is_running = takeover is not None and takeover.phase is Phase.RUNNING
    return is_running and takeover.release == release


def find_share(takeover: Takeover | None, ordered_release: str, release: str) -> float:
    """Return the share of a service's requests that a release may get.

    Args:
        takeover: The service's latest takeover, or None.
        ordered_release: The release of a newer order that has no takeover yet, or empty.
        release: The release to look up.

    Returns:
        0 for none, 1 for all that other releases don't get, or the share in between.
    """
    if release == ordered_release:
        return 0.0
    if takeover is None:
        return 1.0
    if release in takeover.retired:
        return 0.0
    if release == takeover.release:
        return takeover.share
    return 0.0 if takeover.phase is Phase.COMPLETED else 1.0
