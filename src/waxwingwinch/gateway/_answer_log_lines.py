"""Log lines about the bodies of upstreams' answers."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("memory:exhausted")
class AnswerNotHeld(LogLine):
    """
    There was no room to hold more of what an upstream sent.

    :param request_id: Id of the request.
    :param held_bytes: What the request held before.
    :param requested_bytes: What was to be held besides.
    :param free_bytes: What of the memory for requests was free.
    """

    request_id: str
    held_bytes: int
    requested_bytes: int
    free_bytes: int


@log_line("answer:passed")
class AnswerPassed(LogLine):
    """
    An answer was passed on in parts, to its end.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param sent_bytes: Size of its body.
    """

    request_id: str
    upstream_id: str
    sent_bytes: int


@log_line("answer:aborted")
class AnswerAborted(LogLine):
    """
    An answer that its caller got in parts was aborted before its end.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param sent_bytes: What the caller got of its body.
    :param reason: Why it was aborted.
    """

    request_id: str
    upstream_id: str
    sent_bytes: int
    reason: str


@log_line("answer:dropped")
class AnswerDropped(LogLine):
    """
    A failure that is too large to be held was dropped for another attempt.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param status: HTTP status of the failure.
    :param read_bytes: What was read of its body.
    """

    request_id: str
    upstream_id: str
    status: int
    read_bytes: int
