"""Log lines about requests during which an upstream broke the connection."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("attempt:broken")
class AttemptBroken(LogLine):
    """
    An upstream broke the connection of a request.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param started_ms: Unix time of the upstream's start in milliseconds.
    :param parts: Ids of the shared parts of the prompt, and of the request
        itself, which is the same for its repeats.
    :param events: Events that this attempt had delivered.
    :param sent_age_seconds: Time since the request was sent to the upstream.
    :param error: Class of the transport's error.
    """

    request_id: str
    upstream_id: str
    started_ms: int
    parts: tuple[str, ...]
    events: int
    sent_age_seconds: float
    error: str


@log_line("crash:blamed")
class PartBlamed(LogLine):
    """
    Requests with a part of a prompt are refused, since engines crashed on it.

    :param part_id: The part.
    :param crashes: Crashes of engines that count for it.
    :param required: Crashes after which it is blamed.
    :param last_crash_age_seconds: Time since the last of them.
    :param block_seconds: Time for which it is blocked after that.
    :param sound_age_seconds: Time since a generation with it last went well;
        None if none is known.
    :param engines: The engines that crashed.
    """

    part_id: str
    crashes: int
    required: int
    last_crash_age_seconds: float
    block_seconds: float
    sound_age_seconds: float | None
    engines: tuple[str, ...]


@log_line("crash:cleared")
class PartCleared(LogLine):
    """
    A part of a prompt is no longer blamed for crashes of engines.

    :param part_id: The part.
    :param crashes: Crashes of engines that counted for it.
    :param last_crash_age_seconds: Time since the last of them.
    :param sound_age_seconds: Time since a generation with it last went well;
        None if none is known.
    """

    part_id: str
    crashes: int
    last_crash_age_seconds: float
    sound_age_seconds: float | None


@log_line("crash:answered")
class CrashDisproved(LogLine):
    """
    An engine that seemed to have crashed answered a later request.

    :param upstream_id: The engine.
    :param started_ms: Unix time of its start in milliseconds.
    :param crash_age_seconds: Time since it seemed to crash.
    """

    upstream_id: str
    started_ms: int
    crash_age_seconds: float


@log_line("crash:refused")
class BlamedRequestRefused(LogLine):
    """
    A request was not sent to an engine because of a part of its prompt.

    :param request_id: Id of the request.
    :param part_id: The blamed part.
    :param crashes: Crashes of engines that count for it.
    :param last_crash_age_seconds: Time since the last of them.
    :param remaining_seconds: Time until such requests are tried again.
    :param sends: Upstreams that the request had been sent to before.
    """

    request_id: str
    part_id: str
    crashes: int
    last_crash_age_seconds: float
    remaining_seconds: float
    sends: int


@log_line("crash:report_malformed")
class CrashReportMalformed(LogLine):
    """
    A report of a crash from another instance is out of bounds.

    :param incarnation: Incarnation of the other instance.
    """

    incarnation: str
