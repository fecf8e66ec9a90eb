"""Observes how attempts at requests end at their upstreams."""

import hashlib
from http.client import IncompleteRead

from attrs import define, field, frozen
from urllib3.exceptions import ProtocolError

from waxwingwinch._fingerprints import request_fingerprint
from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._crash_evidence import PartBlock
from waxwingwinch.gateway._crash_log_lines import (
    AttemptBroken,
    BlamedRequestRefused,
)
from waxwingwinch.gateway._crash_observations import (
    MAX_PART_ID_LENGTH,
    MAX_PART_IDS,
    Observation,
    request_part_id,
)
from waxwingwinch.gateway._crash_suspects import Incarnation, is_request_part
from waxwingwinch.gateway._job import Job, RelayContext
from waxwingwinch.gateway._requests import ResponseHead
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._upstream_calls import MISDIRECTED_STATUS
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import ConnectionBroken

#: Events after which the shared parts of a prompt count as sound. An engine
#: may crash while it writes the first.
BEGUN_EVENTS = 2
#: Errors of a transport whose other end closed or reset the connection.
_BROKEN_CONNECTION = (
    ConnectionBroken,
    ConnectionError,
    IncompleteRead,
    ProtocolError,
)


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
class Attempt:
    """
    One attempt at a request.

    :param job: The request.
    :param upstream: The upstream.
    :param part_ids: What of it may crash upstreams, see
        :func:`suspect_part_ids`.
    :param sent_seconds: Monotonic time at which it was sent.
    :param is_resumption: True if it goes on with a stream after an event.
    :param events: Events of a stream that the upstream has delivered.
    :param is_whole: True once its response is complete.
    """

    job: Job
    upstream: Upstream
    part_ids: tuple[str, ...]
    sent_seconds: float
    is_resumption: bool = False
    events: int = 0
    is_whole: bool = False

    @property
    def has_begun(self) -> bool:
        """Whether the shared parts of the prompt have gone well."""
        return self.events >= BEGUN_EVENTS

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Those of the parts that other requests may have, too."""
        return self.part_ids[:-1]

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the upstream."""
        return Incarnation(self.upstream.upstream_id, self.upstream.started_ms)


@frozen
class AttemptObserver:
    """
    Records how the attempts of a process end.

    :param context: Dependencies shared by the relays of the process.
    """

    _context: RelayContext = field(repr=False)

    def begin(
        self, job: Job, upstream: Upstream, last_event_id: str | None = None
    ) -> Attempt:
        """
        Return an attempt that is about to be sent.

        :param job: The request.
        :param upstream: The upstream.
        :param last_event_id: The event after which the stream goes on; None
            unless another attempt of this instance has delivered one.
        """
        return Attempt(
            job,
            upstream,
            suspect_part_ids(job),
            self._context.clock.now_seconds(),
            is_resumption=(last_event_id or job.request.last_event_id) is not None,
        )

    def block(self, job: Job, sends: int, now_seconds: float) -> PartBlock | None:
        """
        Return why a request must not be sent to an upstream; None if it may.

        :param job: The request.
        :param sends: Upstreams that it was sent to.
        :param now_seconds: Monotonic time.
        """
        block = self._context.crashes.block(suspect_part_ids(job), now_seconds)
        if block is not None:
            BlamedRequestRefused(
                request_id=job.request.request_id,
                part_id=block.part_id,
                crashes=block.blame.crashes,
                last_crash_age_seconds=now_seconds - block.blame.last_seconds,
                remaining_seconds=block.until_seconds - now_seconds,
                sends=sends,
            ).write()
        return block

    def answered(self, attempt: Attempt) -> None:
        """
        Record that the upstream has responded, so that it runs.

        :param attempt: The attempt.
        """
        self._context.crashes.record_answer(
            attempt.incarnation, attempt.sent_seconds, self._context.clock.now_seconds()
        )

    def rejected(self, attempt: Attempt, head: ResponseHead) -> None:
        """
        Record that the upstream stated that it didn't execute the request.

        :param attempt: The attempt.
        :param head: Status and headers of the response.
        """
        # A misdirected request may have reached another incarnation.
        if head.status != MISDIRECTED_STATUS:
            self.answered(attempt)

    def progressed(self, attempt: Attempt, events: int) -> None:
        """
        Record the events that the upstream has delivered.

        :param attempt: The attempt.
        :param events: Their number.
        """
        had_begun, attempt.events = attempt.has_begun, events
        if attempt.has_begun and not had_begun:
            self._context.crashes.record_sound(
                attempt.shared_part_ids, self._context.clock.now_seconds()
            )

    def succeeded(self, attempt: Attempt) -> None:
        """
        Record that an attempt brought its whole response.

        The request itself is sound only if this attempt ran it from its
        beginning, as an upstream may crash at any event.

        :param attempt: The attempt.
        """
        attempt.is_whole = True
        self._context.crashes.record_sound(
            attempt.shared_part_ids if attempt.is_resumption else attempt.part_ids,
            self._context.clock.now_seconds(),
        )

    def failed(self, attempt: Attempt, error: Exception) -> None:
        """
        Record that an attempt ended without a complete response.

        :param attempt: The attempt.
        :param error: The error of the call.
        """
        broken = broken_connection(error)
        if broken is None:
            return
        now_seconds = self._context.clock.now_seconds()
        job, upstream = attempt.job, attempt.upstream
        self._context.telemetry.count(CounterName.BROKEN_ATTEMPTS, job.service.name)
        AttemptBroken(
            request_id=job.request.request_id,
            upstream_id=upstream.upstream_id,
            started_ms=upstream.started_ms,
            parts=attempt.part_ids,
            events=attempt.events,
            sent_age_seconds=now_seconds - attempt.sent_seconds,
            error=type(broken).__name__,
        ).write()
        if not attempt.is_whole:
            # The shared parts went well once the generation had begun.
            first = len(attempt.shared_part_ids) if attempt.has_begun else 0
            self._context.crashes.record_crash(
                Observation(
                    attempt.incarnation,
                    attempt.part_ids[first:],
                    attempt.sent_seconds,
                    now_seconds,
                    first_position=first,
                    has_begun=attempt.has_begun,
                )
            )


def suspect_part_ids(job: Job) -> tuple[str, ...]:
    """
    Return the ids of all of a request that may crash upstreams.

    These are the shared parts of its prompt, if it has one, and the request
    itself, which counts as a part behind them.

    :param job: The request.
    """
    request = job.request
    fingerprint = request_fingerprint(
        job.customer_id or CustomerId(""),
        f"{request.method} {request.host}{request.target}",
        request.body,
    )
    part_ids = (*shared_part_ids(job), request_part_id(fingerprint))
    return part_ids[-MAX_PART_IDS:]


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
    shared = prompt.parts[:-1][-MAX_PART_IDS:]
    return tuple(_bounded_id(part.part_id) for part in shared)


def _bounded_id(part_id: str) -> str:
    if len(part_id) <= MAX_PART_ID_LENGTH and not is_request_part(part_id):
        return part_id
    return hashlib.sha256(part_id.encode("utf-8", "surrogatepass")).hexdigest()
