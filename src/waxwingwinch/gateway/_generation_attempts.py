"""Observes how attempts at generations end at their engines."""

import hashlib
from http.client import IncompleteRead

from attrs import define, field, frozen
from urllib3.exceptions import ProtocolError

from waxwingwinch.gateway._crash_log_lines import GenerationBroken
from waxwingwinch.gateway._job import Job, RelayContext
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._upstreams import Upstream

#: Number of shared parts of a prompt that are recorded; the first parts are
#: shared by the most prompts.
MAX_SHARED_PARTS = 16
#: Length of a part's id from which its digest is recorded instead.
MAX_PART_ID_LENGTH = 64
#: Errors of a transport whose other end closed or reset the connection.
_BROKEN_CONNECTION = (ConnectionError, IncompleteRead, ProtocolError)


def broken_connection(error: BaseException) -> BaseException | None:
    """
    Return the error by which an upstream broke a connection.

    :param error: The error of a call.
    :returns: None if the call failed for another reason, such as a timeout.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, _BROKEN_CONNECTION):
            return cause
        cause = cause.__cause__
    return None


@define(eq=False)
class GenerationAttempt:
    """
    One attempt at a generation.

    :param job: The request.
    :param engine: The engine.
    :param shared_parts: Ids of the parts of the prompt that other prompts may
        share.
    :param sent_seconds: Monotonic time at which it was sent.
    :param events: Events that the engine has delivered.
    """

    job: Job
    engine: Upstream
    shared_parts: tuple[str, ...]
    sent_seconds: float
    events: int = 0


@frozen
class AttemptObserver:
    """
    Records how the attempts of a process end.

    :param context: Dependencies shared by the relays of the process.
    """

    _context: RelayContext = field(repr=False)

    def begin(self, job: Job, engine: Upstream) -> GenerationAttempt:
        """
        Return an attempt that is about to be sent.

        :param job: The request.
        :param engine: The engine.
        """
        return GenerationAttempt(
            job, engine, shared_part_ids(job), self._context.clock.now_seconds()
        )

    def failed(self, attempt: GenerationAttempt, error: Exception) -> None:
        """
        Record that an attempt ended without a complete response.

        :param attempt: The attempt.
        :param error: The error of the call.
        """
        broken = broken_connection(error)
        if broken is None:
            return
        now_seconds = self._context.clock.now_seconds()
        job, engine = attempt.job, attempt.engine
        self._context.telemetry.count(CounterName.BROKEN_GENERATIONS, job.service.name)
        GenerationBroken(
            request_id=job.request.request_id,
            upstream_id=engine.upstream_id,
            started_ms=engine.started_ms,
            parts=attempt.shared_parts,
            events=attempt.events,
            sent_age_seconds=now_seconds - attempt.sent_seconds,
            error=type(broken).__name__,
        ).write()


def shared_part_ids(job: Job) -> tuple[str, ...]:
    """
    Return the ids of the prompt's parts that other prompts may share.

    Both their number and their length are bounded: of more parts the last are
    returned, and a long id is replaced by its digest.

    :param job: The request.
    """
    prompt = job.request.prompt
    if prompt is None:
        return ()
    # The last part is specific to the request.
    shared = prompt.parts[:-1][-MAX_SHARED_PARTS:]
    return tuple(_bounded_id(part.part_id) for part in shared)


def _bounded_id(part_id: str) -> str:
    if len(part_id) <= MAX_PART_ID_LENGTH:
        return part_id
    return hashlib.sha256(part_id.encode("utf-8", "surrogatepass")).hexdigest()
