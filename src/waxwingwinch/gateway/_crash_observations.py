"""Observations of crashes, and their form in reports between instances."""

from attrs import frozen

from waxwingwinch.gateway._crash_messages import AnsweringEngine, CrashReport
from waxwingwinch.gateway._crash_suspects import REQUEST_PART_PREFIX, Incarnation

#: Bounds on what is reported, and on what is taken from a report.
MAX_REPORTED_CRASHES = 64
MAX_REPORTED_PARTS = 64
MAX_PART_IDS = 16
MAX_PART_ID_LENGTH = 64
MAX_UPSTREAM_ID_LENGTH = 256
MAX_POSITION = 10_000
MAX_AGE_SECONDS = 24 * 3_600.0
#: Characters of a fingerprint in the id of a request.
FINGERPRINT_CHARACTERS = 32


@frozen
class Observation:
    """
    A request during which its upstream broke the connection.

    :param engine: The incarnation of the upstream.
    :param part_ids: Shared parts of the prompt, in order, and the request.
    :param sent_seconds: Monotonic time at which it was sent to the engine.
    :param seen_seconds: Monotonic time at which the connection broke.
    :param first_position: Position of the first part in the prompt.
    :param has_begun: True if the upstream had begun to answer.
    """

    engine: Incarnation
    part_ids: tuple[str, ...]
    sent_seconds: float
    seen_seconds: float
    first_position: int = 0
    has_begun: bool = False


def make_crash_report(
    sequence: int, observation: Observation, now_seconds: float
) -> CrashReport:
    """
    Return the report of an observation.

    :param sequence: Its sequence; 0 if another instance made it.
    :param observation: The observation.
    :param now_seconds: Monotonic time.
    """
    return CrashReport(
        sequence,
        observation.engine.upstream_id,
        observation.engine.started_ms,
        observation.part_ids,
        observation.first_position,
        max(now_seconds - observation.sent_seconds, 0.0),
        max(now_seconds - observation.seen_seconds, 0.0),
        observation.has_begun,
    )


def read_crash_report(report: CrashReport, made_seconds: float) -> Observation | None:
    """
    Return a reported observation; None if the report is out of bounds.

    :param report: The report.
    :param made_seconds: Monotonic time at which it was made.
    """
    is_valid = (
        is_valid_age(report.sent_age_seconds)
        and is_valid_age(report.seen_age_seconds)
        and 0 <= report.first_position <= MAX_POSITION
        and len(report.upstream_id) <= MAX_UPSTREAM_ID_LENGTH
        and 0 < len(report.part_ids) <= MAX_PART_IDS
        and all(map(is_valid_part_id, report.part_ids))
    )
    if not is_valid:
        return None
    return Observation(
        Incarnation(report.upstream_id, report.started_ms),
        report.part_ids,
        made_seconds - report.sent_age_seconds,
        made_seconds - report.seen_age_seconds,
        report.first_position,
        report.has_begun,
    )


def is_valid_answer(answering: AnsweringEngine) -> bool:
    """
    Tell whether a reported answer of an engine is within its bounds.

    :param answering: The report.
    """
    return (
        is_valid_age(answering.age_seconds)
        and len(answering.upstream_id) <= MAX_UPSTREAM_ID_LENGTH
    )


def is_valid_age(age_seconds: float) -> bool:
    """
    Tell whether an age from a report is within its bounds.

    :param age_seconds: The age.
    """
    # False for a value that is not a number.
    return 0.0 <= age_seconds <= MAX_AGE_SECONDS


def is_valid_part_id(part_id: str) -> bool:
    """
    Tell whether the id of a part from a report is within its bounds.

    :param part_id: The id.
    """
    return len(part_id) <= MAX_PART_ID_LENGTH


def request_part_id(fingerprint: str) -> str:
    """
    Return the id under which a request counts as a part.

    :param fingerprint: Fingerprint of the request.
    """
    return REQUEST_PART_PREFIX + fingerprint[:FINGERPRINT_CHARACTERS]
