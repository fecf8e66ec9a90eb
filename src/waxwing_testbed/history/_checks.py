"""Checks of the promises over recorded histories."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from attrs import frozen

from waxwing_testbed.history._events import CallEvent, CallKind, CallOutcome


@frozen
class Violation:
    """
    A broken promise.

    :param promise: Short name of the promise.
    :param detail: What was seen.
    """

    promise: str
    detail: str


@frozen
class UpstreamExecution:
    """
    One execution that an upstream recorded.

    :param request_id: The system's name of the request.
    :param idempotency_key: The key that came along; empty for none.
    :param seconds: When it ran.
    """

    request_id: str
    idempotency_key: str
    seconds: float


@frozen
class Admission:
    """
    One request that reached an upstream.

    :param customer_id: Its customer.
    :param seconds: When it was admitted.
    """

    customer_id: str
    seconds: float


@frozen
class AuthoritySpan:
    """
    A time during which a process acted under an epoch.

    :param duty: The duty.
    :param epoch: The fencing token.
    :param holder: The process.
    :param seconds: When it acted.
    """

    duty: str
    epoch: int
    holder: str
    seconds: float


@frozen
class ReportedWindow:
    """
    One report that the intake received.

    :param window_start_seconds: The window.
    :param figures: The figures, in any stable form.
    """

    window_start_seconds: int
    figures: str


@frozen
class VersionSighting:
    """
    The configuration version that an instance had in force.

    :param instance: The instance's process.
    :param version: The version.
    :param seconds: When it was seen.
    """

    instance: str
    version: int
    seconds: float


def check_at_most_once(
    calls: Iterable[CallEvent], executions: Iterable[UpstreamExecution]
) -> list[Violation]:
    """
    Check that no non-idempotent request ran twice.

    :param calls: What callers saw.
    :param executions: What the upstreams recorded.
    """
    executed = list(executions)
    by_key = Counter(one.idempotency_key for one in executed if one.idempotency_key)
    by_request = Counter(one.request_id for one in executed)
    violations = [
        Violation("at most once", f"key {key} ran {count} times")
        for key, count in by_key.items()
        if count > 1
    ]
    for call in calls:
        if call.kind is CallKind.PAYMENT and by_request[call.request_id] > 1:
            detail = (
                f"request {call.request_id} ran {by_request[call.request_id]} times"
            )
            violations.append(Violation("at most once", detail))
    return violations


def check_refusals_are_true(
    calls: Iterable[CallEvent], executions: Iterable[UpstreamExecution]
) -> list[Violation]:
    """
    Check that nothing ran of which a caller was told that it hasn't.

    :param calls: What callers saw.
    :param executions: What the upstreams recorded.
    """
    ran = {one.request_id for one in executions}
    return [
        Violation("true refusals", f"request {call.request_id} ran, told not_run")
        for call in calls
        if call.outcome is CallOutcome.NOT_RUN and call.request_id in ran
    ]


def check_same_answer(calls: Iterable[CallEvent]) -> list[Violation]:
    """
    Check that all answers under one idempotency key are the same.

    :param calls: What callers saw.
    """
    answers: dict[str, set[str]] = defaultdict(set)
    for call in calls:
        if call.kind is CallKind.ORDER and call.outcome is CallOutcome.WHOLE:
            answers[call.idempotency_key].add(call.upstream_execution)
    return [
        Violation("same answer", f"key {key} was answered by {sorted(found)}")
        for key, found in answers.items()
        if len(found) > 1
    ]


def check_whole_answers(calls: Iterable[CallEvent]) -> list[Violation]:
    """
    Check that no caller got another's, an altered or a partial answer.

    :param calls: What callers saw.
    """
    return [
        Violation("whole answers", f"call {call.call_id}: {call.detail}")
        for call in calls
        if call.outcome is CallOutcome.WRONG
    ]


def check_rate(
    admissions: Sequence[Admission],
    customer_id: str,
    rate_per_second: float,
    burst_requests: float,
    resolution_seconds: float = 0.0,
) -> list[Violation]:
    """
    Check that no interval holds more requests than rate and burst allow.

    The largest excess over all intervals is found in one pass: it is the
    level of a bucket that fills with each request and leaks at the rate.

    :param admissions: Admitted requests of all customers.
    :param customer_id: The customer to check.
    :param rate_per_second: Its rate.
    :param burst_requests: Its burst.
    :param resolution_seconds: Error of the recorded times.
    """
    times = sorted(one.seconds for one in admissions if one.customer_id == customer_id)
    allowed = burst_requests + rate_per_second * resolution_seconds
    level = 0.0
    highest = 0.0
    previous_seconds = times[0] if times else 0.0
    for seconds in times:
        level = max(0.0, level - rate_per_second * (seconds - previous_seconds)) + 1.0
        highest = max(highest, level)
        previous_seconds = seconds
    if highest <= allowed + 1e-6:
        return []
    detail = (
        f"{customer_id}: {highest:.2f} above the rate at once, {allowed:.2f} allowed"
    )
    return [Violation("rate and burst", detail)]


def check_rate_by_calls(
    calls: Iterable[CallEvent],
    customer_id: str,
    rate_per_second: float,
    burst_requests: float,
) -> list[Violation]:
    """
    Check rate and burst from what callers saw.

    A request was admitted between its sending and the first sign of its
    answer. An interval that holds both of too many requests is a violation
    whatever the clocks of the upstreams say.

    :param calls: What callers saw.
    :param customer_id: The customer to check.
    :param rate_per_second: Its rate.
    :param burst_requests: Its burst.
    """
    spans = sorted(
        (call.started_seconds, _first_sign_seconds(call))
        for call in calls
        if call.customer_id == customer_id and call.outcome is CallOutcome.WHOLE
    )
    highest = 0.0
    for index, (start_seconds, _) in enumerate(spans):
        ends = sorted(end_seconds for _, end_seconds in spans[index:])
        for count, end_seconds in enumerate(ends, 1):
            allowance = rate_per_second * (end_seconds - start_seconds)
            highest = max(highest, count - allowance)
    if highest <= burst_requests + 1e-6:
        return []
    detail = f"{customer_id}: {highest:.2f} at once, {burst_requests:.2f} allowed"
    return [Violation("rate and burst", detail)]


def _first_sign_seconds(call: CallEvent) -> float:
    if call.first_token_seconds is None:
        return call.ended_seconds
    return call.started_seconds + call.first_token_seconds


def check_single_authority(spans: Iterable[AuthoritySpan]) -> list[Violation]:
    """
    Check that actions under a duty come in order of their epochs.

    :param spans: Actions in the order in which they arrived.
    """
    violations = []
    highest: dict[str, int] = {}
    holders: dict[tuple[str, int], str] = {}
    for span in spans:
        if span.epoch < highest.get(span.duty, -1):
            detail = f"{span.duty}: epoch {span.epoch} acted after {highest[span.duty]}"
            violations.append(Violation("single authority", detail))
        highest[span.duty] = max(span.epoch, highest.get(span.duty, -1))
        holder = holders.setdefault((span.duty, span.epoch), span.holder)
        if holder != span.holder:
            detail = (
                f"{span.duty}: epoch {span.epoch} used by {holder} and {span.holder}"
            )
            violations.append(Violation("single authority", detail))
    return violations


def check_one_figure(reports: Iterable[ReportedWindow]) -> list[Violation]:
    """
    Check that no window was reported with different figures.

    :param reports: What the intake received.
    """
    figures: dict[int, set[str]] = defaultdict(set)
    for report in reports:
        figures[report.window_start_seconds].add(report.figures)
    return [
        Violation("one report a window", f"window {window}: {len(found)} figures")
        for window, found in figures.items()
        if len(found) > 1
    ]


def check_monotone_versions(sightings: Iterable[VersionSighting]) -> list[Violation]:
    """
    Check that the configuration of no process went back.

    :param sightings: What processes had in force, in order of time.
    """
    newest: dict[str, int] = {}
    violations = []
    for sighting in sorted(sightings, key=lambda one: one.seconds):
        before = newest.get(sighting.instance, 0)
        if sighting.version < before:
            detail = f"{sighting.instance}: from {before} back to {sighting.version}"
            violations.append(Violation("never reverts", detail))
        newest[sighting.instance] = max(before, sighting.version)
    return violations
