"""The check that no request is lost."""

from waxwing_testbed.soak._cases import Case, make_case
from waxwing_testbed.soak._events import UNPLANNED, Call, Cause, Cut, Disruption, RunEnd
from waxwing_testbed.soak._history import History

#: Requests sent no later than this after SIGTERM may be cut in the end.
_EARLY_SECONDS = 3.0
#: Part of the grace period at whose start the end begins.
_LAST_SIXTH = 5 / 6
#: Time after the grace period, or after a configuration's bound, that still
#: counts as planned work.
_MARGIN_SECONDS = 1.0
#: Part of its time after which a request may be cut beside a configuration.
_USED_RATIO = 0.7
#: How much more often requests may be cut beside a configuration.
_CUT_RATIO = 3.0
#: Cut requests of undisturbed instances that the rule tolerates.
_TOLERATED_CUTS = 3


def check_lost(history: History) -> list[Case]:
    """
    Check that requests are answered around planned work and in calm times.

    :param history: The history.
    """
    lost = [call for call in history.calls if _is_lost(history, call)]
    reasons = {}
    for call in lost:
        if _is_planned(history, call):
            reasons[call.request_id] = "beside a stop or reload"
    beside = [call for call in lost if _is_beside_configuration(history, call)]
    if _cuts_more_often(history, beside, lost):
        for call in beside:
            reasons.setdefault(call.request_id, "beside a configuration")
    kept = [
        call
        for call in lost
        if call.request_id not in reasons
        and call.is_kept
        and history.runs_of(call)
        and not _is_disturbed(history, call)
    ]
    if len(kept) > _TOLERATED_CUTS:
        reasons.update((call.request_id, "at a calm instance") for call in kept)
    return [
        _lost_case(history, call, reasons[call.request_id])
        for call in lost
        if call.request_id in reasons
    ]


def _is_lost(history: History, call: Call) -> bool:
    """Tell whether a whole request was cut without an excuse."""
    if not isinstance(call.result, Cut):
        return False
    waited_seconds = call.ended_seconds - call.sent_seconds
    runs = history.runs_of(call)
    if not runs and waited_seconds <= history.bounds.loss_slack_seconds:
        return False
    if any(run.end is RunEnd.BROKEN for run in runs):
        return False
    if call.ended_seconds - call.started_seconds >= _allowed_seconds(history, call):
        return False
    stops = _recent_stops(history, call)
    if any(_is_excused_by_stop(history, call, stop) for stop in stops):
        return False
    since_seconds = call.started_seconds - history.bounds.contact_seconds
    return not history.disturbances(UNPLANNED, since_seconds, call.ended_seconds)


def _allowed_seconds(history: History, call: Call) -> float:
    versions = history.versions_between(call.started_seconds, call.ended_seconds)
    return min([call.deadline_seconds, *(one.timeout_seconds for one in versions)])


def _recent_stops(history: History, call: Call) -> list[Disruption]:
    """Return the stops of a call's instance that it ended in."""
    span_seconds = history.bounds.grace_seconds + _MARGIN_SECONDS
    return _since(history, Cause.TERM, call, call.ended_seconds - span_seconds)


def _is_excused_by_stop(history: History, call: Call, stop: Disruption) -> bool:
    """Tell whether an upstream worked on an early request to the end."""
    last_sixth_seconds = (
        stop.started_seconds + _LAST_SIXTH * history.bounds.grace_seconds
    )
    is_early = call.sent_seconds <= stop.started_seconds + _EARLY_SECONDS
    return is_early and any(
        run.ended_seconds >= last_sixth_seconds for run in history.runs_of(call)
    )


def _is_planned(history: History, call: Call) -> bool:
    """Tell whether a lost request was cut by a stop or a reload."""
    since_seconds = call.started_seconds - history.bounds.apply_seconds
    reloads = _since(history, Cause.HANGUP, call, since_seconds)
    return bool(_recent_stops(history, call) or reloads)


def _since(
    history: History, cause: Cause, call: Call, since_seconds: float
) -> list[Disruption]:
    """Return what began at a call's instance in a span that ends with it."""
    found = history.disturbances(
        (cause,), since_seconds, call.ended_seconds, call.instance
    )
    return [one for one in found if one.started_seconds >= since_seconds]


def _configuration_spans(history: History) -> list[tuple[float, float]]:
    """Return the spans beside configurations, without overlaps."""
    margin_seconds = history.bounds.apply_seconds + _MARGIN_SECONDS
    spans: list[tuple[float, float]] = []
    for one in history.published[1:]:
        start_seconds = one.sent_seconds
        if spans and spans[-1][1] >= start_seconds:
            start_seconds = spans.pop()[0]
        spans.append((start_seconds, one.acknowledged_seconds + margin_seconds))
    return spans


def _is_beside_configuration(history: History, call: Call) -> bool:
    used_seconds = call.ended_seconds - call.started_seconds
    return used_seconds < _USED_RATIO * _allowed_seconds(history, call) and any(
        start_seconds <= call.ended_seconds <= end_seconds
        for start_seconds, end_seconds in _configuration_spans(history)
    )


def _cuts_more_often(history: History, beside: list[Call], lost: list[Call]) -> bool:
    """Compare the rates of cuts beside configurations and at other times."""
    spans = _configuration_spans(history)
    beside_seconds = sum(end - start for start, end in spans)
    all_seconds = max((call.ended_seconds for call in history.calls), default=0.0)
    other_seconds = max(all_seconds - beside_seconds, 0.0)
    others = len(lost) - len(beside)
    return len(beside) * other_seconds > _CUT_RATIO * others * beside_seconds


def _is_disturbed(history: History, call: Call) -> bool:
    causes = (Cause.START, Cause.TERM, Cause.KILL, Cause.FREEZE)
    since_seconds = call.started_seconds - history.bounds.contact_seconds
    return bool(
        history.disturbances(causes, since_seconds, call.ended_seconds, call.instance)
    )


def _lost_case(history: History, call: Call, reason: str) -> Case:
    waited_seconds = call.ended_seconds - call.sent_seconds
    detail = f"{reason}, {call.result}, {waited_seconds:.3f} s after its last byte"
    detail += f", {len(history.runs_of(call))} upstreams got it"
    for stop in _recent_stops(history, call)[-1:]:
        passed_seconds = call.ended_seconds - stop.started_seconds
        detail += f", {passed_seconds:.2f} s after SIGTERM"
    return make_case("LOST", call, detail)
