"""Log lines about generations during which an engine broke the connection."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("generation:broken")
class GenerationBroken(LogLine):
    """
    An engine broke the connection of a generation.

    :param request_id: Id of the request.
    :param upstream_id: The engine.
    :param started_ms: Unix time of the engine's start in milliseconds.
    :param parts: Ids of the shared parts of the prompt.
    :param events: Events that this attempt had delivered.
    :param sent_age_seconds: Time since the request was sent to the engine.
    :param error: Class of the transport's error.
    """

    request_id: str
    upstream_id: str
    started_ms: int
    parts: tuple[str, ...]
    events: int
    sent_age_seconds: float
    error: str
