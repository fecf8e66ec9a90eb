"""Taking failing or slow engines out of use, and back in slowly."""

import enum
from collections.abc import Mapping
from statistics import median_low

from attrs import evolve, frozen

from waxwingwinch._types import UpstreamId

#: Failures in a row that eject an engine.
FAILURES_TO_EJECT = 3
#: Length of the first ejection; doubled by each that follows soon.
EJECTION_SECONDS = 5.0
#: Length of an ejection after refusals, as while a role changes.
REFUSAL_EJECTION_SECONDS = 2.0
#: Longest ejection.
EJECTION_SECONDS_MAX = 60.0
#: Time in which an engine that returns gets back its full share.
RETURN_SECONDS = 20.0
#: Share of requests that a returning engine gets first.
FIRST_SHARE = 0.05
#: An engine this many times slower than the middle one is ejected.
SLOWNESS_FACTOR = 3.0
#: Answers on which a judgement of slowness rests.
SLOWNESS_SAMPLES_MIN = 10
#: Weight of a new answer in the moving average of slowness.
SLOWNESS_SMOOTHING = 0.2
#: Largest part of the engines that may be ejected together.
EJECTED_FRACTION_MAX = 0.5


class EjectionCause(enum.Enum):
    """Why an engine was ejected."""

    FAILURES = "failures"
    #: It refused calls or connections, so nothing was lost.
    REFUSALS = "refusals"
    SLOWNESS = "slowness"


@frozen
class EngineRecord:
    """
    What an instance has seen of an engine.

    :param failures_in_row: Failures since the last success.
    :param ejections_in_row: Ejections since the last full return.
    :param ejected_until_seconds: Monotonic end of the ejection; None if the
        engine was not ejected.
    :param lateness: Moving average of observed over estimated time.
    :param samples: Answers that entered ``lateness``.
    :param cause: Why it was ejected last; None if it never was.
    """

    failures_in_row: int = 0
    ejections_in_row: int = 0
    ejected_until_seconds: float | None = None
    lateness: float = 1.0
    samples: int = 0
    cause: EjectionCause | None = None


def after_failure(
    record: EngineRecord, cause: EjectionCause, now_seconds: float
) -> EngineRecord:
    """
    Return the record after a failed call.

    :param record: The record before.
    :param cause: ``FAILURES``, or ``REFUSALS`` if the call did not run.
    :param now_seconds: Monotonic time.
    """
    record = evolve(record, failures_in_row=record.failures_in_row + 1)
    if record.failures_in_row < FAILURES_TO_EJECT:
        return record
    return _ejected(record, cause, now_seconds)


def after_success(
    record: EngineRecord, lateness: float, now_seconds: float
) -> EngineRecord:
    """
    Return the record after a whole answer.

    :param record: The record before.
    :param lateness: Observed over estimated time of the answer.
    :param now_seconds: Monotonic time.
    """
    change = SLOWNESS_SMOOTHING * (lateness - record.lateness)
    back = share(record, now_seconds) >= 1.0
    return evolve(
        record,
        failures_in_row=0,
        lateness=record.lateness + change,
        samples=record.samples + 1,
        ejections_in_row=0 if back else record.ejections_in_row,
    )


def eject_slow(
    records: Mapping[UpstreamId, EngineRecord], now_seconds: float
) -> dict[UpstreamId, EngineRecord]:
    """
    Eject the engines that are much slower than the middle one.

    :param records: All records of one model's engines.
    :param now_seconds: Monotonic time.
    :returns: All records, changed ones included.
    """
    judged = [r for r in records.values() if r.samples >= SLOWNESS_SAMPLES_MIN]
    if len(judged) < 2:
        return dict(records)
    limit = SLOWNESS_FACTOR * max(1.0, median_low([r.lateness for r in judged]))
    return {
        upstream_id: _ejected(record, EjectionCause.SLOWNESS, now_seconds)
        if _is_slow(record, limit)
        else record
        for upstream_id, record in records.items()
    }


def share(record: EngineRecord, now_seconds: float) -> float:
    """
    Return the part of its usual requests that an engine may get.

    :param record: The record.
    :param now_seconds: Monotonic time.
    :returns: 0 while ejected, growing to 1 after the return.
    """
    if record.ejected_until_seconds is None:
        return 1.0
    back_seconds = now_seconds - record.ejected_until_seconds
    if back_seconds < 0:
        return 0.0
    if record.cause is EjectionCause.REFUSALS:
        return 1.0
    grown = back_seconds / RETURN_SECONDS
    return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * grown)


def usable_engines(
    records: Mapping[UpstreamId, EngineRecord], draw: float, now_seconds: float
) -> frozenset[UpstreamId]:
    """
    Return the engines that one request may use.

    If too many are ejected the cause lies elsewhere, and all are usable.

    :param records: The record of each engine of the model.
    :param draw: A number in [0, 1) drawn for the request.
    :param now_seconds: Monotonic time.
    """
    shares = {name: share(record, now_seconds) for name, record in records.items()}
    ejected = [name for name, part in shares.items() if part == 0.0]
    if len(ejected) > EJECTED_FRACTION_MAX * len(records):
        return frozenset(records)
    drawn = frozenset(name for name, part in shares.items() if draw < part)
    if drawn:
        return drawn
    return frozenset(name for name, part in shares.items() if part > 0.0)


def _is_slow(record: EngineRecord, limit: float) -> bool:
    return record.samples >= SLOWNESS_SAMPLES_MIN and record.lateness > limit


def _ejected(
    record: EngineRecord, cause: EjectionCause, now_seconds: float
) -> EngineRecord:
    first_seconds = EJECTION_SECONDS
    if cause is EjectionCause.REFUSALS:
        first_seconds = REFUSAL_EJECTION_SECONDS
    seconds = first_seconds * 2.0 ** min(record.ejections_in_row, 10)
    return evolve(
        record,
        failures_in_row=0,
        ejections_in_row=record.ejections_in_row + 1,
        ejected_until_seconds=now_seconds + min(seconds, EJECTION_SECONDS_MAX),
        lateness=1.0,
        samples=0,
        cause=cause,
    )
