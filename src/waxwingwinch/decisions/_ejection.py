"""Outlier ejection of failing or slow engines, and their gradual return."""

import enum
from collections.abc import Mapping
from statistics import median_low

from attrs import evolve, frozen

from waxwingwinch._types import UpstreamId

#: Number of consecutive failures after which an engine is ejected.
FAILURES_TO_EJECT = 3
#: Length of the first ejection; doubled with each consecutive ejection.
EJECTION_SECONDS = 5.0
#: Length of the first ejection after refusals, such as during a role change.
REFUSAL_EJECTION_SECONDS = 2.0
#: Maximum length of an ejection.
EJECTION_SECONDS_MAX = 60.0
#: Time over which the traffic share of a returning engine grows to 1.
RAMP_UP_SECONDS = 20.0
#: Traffic share of an engine right after its return.
INITIAL_SHARE = 0.05
#: An engine is ejected if its ratio of observed to estimated time to the first
#: token exceeds the median ratio (at least 1) by this factor.
SLOWNESS_FACTOR = 3.0
#: Minimum number of responses before an engine can be ejected as slow.
SLOWNESS_SAMPLES_MIN = 10
#: Weight of a new response in the moving average of the latency ratio.
SLOWNESS_SMOOTHING = 0.2
#: Maximum fraction of the engines that may be ejected at the same time.
EJECTED_FRACTION_MAX = 0.5


class EjectionCause(enum.Enum):
    """Cause of an ejection."""

    FAILURES = "failures"
    #: The engine refused calls or connections without running the calls.
    REFUSALS = "refusals"
    SLOWNESS = "slowness"


@frozen
class EngineRecord:
    """
    An instance's observations of an engine.

    :param consecutive_failures: Failures since the last success.
    :param consecutive_ejections: Ejections since the last success at full
        traffic share.
    :param ejected_until_seconds: Monotonic end of the last ejection; None if
        the engine was never ejected.
    :param latency_ratio: Moving average of observed over estimated time to
        the first token.
    :param samples: Number of responses in ``latency_ratio``.
    :param cause: Cause of the last ejection; None if there was none.
    """

    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_seconds: float | None = None
    latency_ratio: float = 1.0
    samples: int = 0
    cause: EjectionCause | None = None


def after_failure(
    record: EngineRecord, cause: EjectionCause, now_seconds: float
) -> EngineRecord:
    """
    Return the record after a failed call.

    :param record: The record before.
    :param cause: ``FAILURES``; ``REFUSALS`` if the engine did not run the
        call.
    :param now_seconds: Monotonic time.
    """
    record = evolve(record, consecutive_failures=record.consecutive_failures + 1)
    if record.consecutive_failures < FAILURES_TO_EJECT:
        return record
    return _ejected(record, cause, now_seconds)


def after_success(
    record: EngineRecord, latency_ratio: float, now_seconds: float
) -> EngineRecord:
    """
    Return the record after a complete response.

    :param record: The record before.
    :param latency_ratio: Observed over estimated time to the first token.
    :param now_seconds: Monotonic time.
    """
    change = SLOWNESS_SMOOTHING * (latency_ratio - record.latency_ratio)
    has_ramped_up = traffic_share(record, now_seconds) >= 1.0
    return evolve(
        record,
        consecutive_failures=0,
        latency_ratio=record.latency_ratio + change,
        samples=record.samples + 1,
        consecutive_ejections=0 if has_ramped_up else record.consecutive_ejections,
    )


def eject_slow(
    records: Mapping[UpstreamId, EngineRecord], now_seconds: float
) -> dict[UpstreamId, EngineRecord]:
    """
    Eject the engines whose latency ratio is far above the median ratio.

    The limit is ``SLOWNESS_FACTOR`` times the median (at least 1) over the
    engines with at least ``SLOWNESS_SAMPLES_MIN`` responses.

    :param records: Records of all engines of a model.
    :param now_seconds: Monotonic time.
    :returns: All records, with those of ejected engines updated.
    """
    eligible = [r for r in records.values() if r.samples >= SLOWNESS_SAMPLES_MIN]
    if len(eligible) < 2:
        return dict(records)
    limit = SLOWNESS_FACTOR * max(1.0, median_low([r.latency_ratio for r in eligible]))
    return {
        upstream_id: _ejected(record, EjectionCause.SLOWNESS, now_seconds)
        if _is_slow(record, limit)
        else record
        for upstream_id, record in records.items()
    }


def traffic_share(record: EngineRecord, now_seconds: float) -> float:
    """
    Return the fraction of its usual requests that an engine may get.

    :param record: The record.
    :param now_seconds: Monotonic time.
    :returns: 0 while ejected; grows to 1 after the return, at once if the
        cause was refusals.
    """
    if record.ejected_until_seconds is None:
        return 1.0
    seconds_since_return = now_seconds - record.ejected_until_seconds
    if seconds_since_return < 0:
        return 0.0
    if record.cause is EjectionCause.REFUSALS:
        return 1.0
    ramp_fraction = seconds_since_return / RAMP_UP_SECONDS
    return min(1.0, INITIAL_SHARE + (1.0 - INITIAL_SHARE) * ramp_fraction)


def usable_engines(
    records: Mapping[UpstreamId, EngineRecord], draw: float, now_seconds: float
) -> frozenset[UpstreamId]:
    """
    Return the engines that one request may use.

    If more than ``EJECTED_FRACTION_MAX`` are ejected, all are usable, since
    the cause then lies outside the engines.

    :param records: Records of all engines of the model.
    :param draw: A number in [0, 1) drawn for the request.
    :param now_seconds: Monotonic time.
    """
    shares = {
        name: traffic_share(record, now_seconds) for name, record in records.items()
    }
    ejected = [name for name, engine_share in shares.items() if engine_share == 0.0]
    if len(ejected) > EJECTED_FRACTION_MAX * len(records):
        return frozenset(records)
    drawn = frozenset(
        name for name, engine_share in shares.items() if draw < engine_share
    )
    if drawn:
        return drawn
    return frozenset(
        name for name, engine_share in shares.items() if engine_share > 0.0
    )


def _is_slow(record: EngineRecord, limit: float) -> bool:
    return record.samples >= SLOWNESS_SAMPLES_MIN and record.latency_ratio > limit


def _ejected(
    record: EngineRecord, cause: EjectionCause, now_seconds: float
) -> EngineRecord:
    initial_seconds = EJECTION_SECONDS
    if cause is EjectionCause.REFUSALS:
        initial_seconds = REFUSAL_EJECTION_SECONDS
    # The exponent is bounded; EJECTION_SECONDS_MAX is reached earlier.
    seconds = initial_seconds * 2.0 ** min(record.consecutive_ejections, 10)
    return evolve(
        record,
        consecutive_failures=0,
        consecutive_ejections=record.consecutive_ejections + 1,
        ejected_until_seconds=now_seconds + min(seconds, EJECTION_SECONDS_MAX),
        latency_ratio=1.0,
        samples=0,
        cause=cause,
    )
