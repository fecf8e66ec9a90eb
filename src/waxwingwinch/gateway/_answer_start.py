"""Reading the beginning of an upstream's body, as far as it may be held."""

from attrs import frozen

from waxwingwinch.gateway._answer_log_lines import AnswerNotHeld
from waxwingwinch.gateway._job import Job
from waxwingwinch.gateway._memory_account import MemoryExhausted
from waxwingwinch.gateway._transport import UpstreamResponse
from waxwingwinch.kernel import Clock

#: Largest body that is held whole, so that another upstream can be asked if
#: the first one breaks off in it. Callers get longer bodies as they arrive.
MAX_HELD_ANSWER_BYTES = 128 * 1_024


@frozen
class AnswerStart:
    """
    The beginning of a body.

    :param data: The part that was read.
    :param is_whole: True if it is the whole body.
    """

    data: bytes
    is_whole: bool


def reserve_part(job: Job, size_bytes: int) -> bool:
    """
    Reserve memory for a part of a response; log if there is no room.

    :param job: The request.
    :param size_bytes: Size of the part.
    :returns: False if there is no room for it.
    """
    try:
        job.reservation.grow(size_bytes)
    except MemoryExhausted as error:
        AnswerNotHeld(
            request_id=job.request.request_id,
            held_bytes=job.reservation.size_bytes,
            requested_bytes=error.requested_bytes,
            free_bytes=error.free_bytes,
        ).write()
        return False
    return True


def read_start(job: Job, response: UpstreamResponse, clock: Clock) -> AnswerStart:
    """
    Read a body up to its end, or as far as it may be held.

    :param job: The request.
    :param response: The response.
    :param clock: Source of the present time.
    :raises AnswerMissing: If the body was truncated or timed out.
    """
    data = bytearray()
    while len(data) < MAX_HELD_ANSWER_BYTES:
        part = response.read_some(job.end_seconds - clock.now_seconds())
        if not part:
            return AnswerStart(bytes(data), True)
        data += part
        if not reserve_part(job, len(part)):
            break
    return AnswerStart(bytes(data), False)
