"""State of a streamed response while it is relayed."""

from attrs import define, field

from waxwingwinch.gateway._attempts import Attempt
from waxwingwinch.gateway._event_stream import EventSplitter
from waxwingwinch.gateway._job import Job, Progress
from waxwingwinch.gateway._loads import TrackedRequest
from waxwingwinch.gateway._outcomes import Responder
from waxwingwinch.gateway._prefill import PrefilledCache
from waxwingwinch.gateway._requests import ResponseHead
from waxwingwinch.gateway._transport import UpstreamResponse
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.capacity import StreamMeter

#: What a stream may hold of its events without a reservation; far above usual
#: events, and a part of the memory that each request is given.
FREE_EVENT_BYTES = 64 * 1_024
#: An incomplete event is copied when more of it arrives.
EVENT_COPIES = 2


@define(eq=False)
class StreamAttempt:
    """
    A response of an engine to a request.

    :param engine: The engine.
    :param response: Its response.
    :param tracked_request: Counts the request at the engine.
    :param observed: What is recorded of the attempt.
    :param meter: Measures the speed of the engine.
    :param first_event: Number of events of the stream before it.
    :param has_events: True once it has sent a complete event.
    """

    engine: Upstream
    response: UpstreamResponse
    tracked_request: TrackedRequest
    observed: Attempt
    meter: StreamMeter = field(repr=False)
    first_event: int = 0
    has_events: bool = False

    def abort(self) -> None:
        """Cancel the request at the engine."""
        self.response.abort()
        self.tracked_request.end()


@define(eq=False)
class StreamState:
    """
    State of a response while it is relayed.

    :param job: The request.
    :param responder: Writes the response to the caller.
    :param progress: The attempts so far.
    :param splitter: Splits the stream into events.
    :param head: Head of the response that the caller received; None until it
        was sent.
    :param expected_seconds: Estimated time to the first event.
    :param placement_name: Class name of the last placement, for the log.
    :param silent: The open attempt whose engine is silent, if any.
    :param overlap_end_seconds: Monotonic time until which the silent engine
        and its replacement may both work.
    :param unfetched_cache: KV cache that no engine has fetched yet.
    """

    job: Job
    responder: Responder
    progress: Progress = field(factory=Progress)
    splitter: EventSplitter = field(factory=EventSplitter)
    head: ResponseHead | None = None
    expected_seconds: float = 0.0
    placement_name: str = ""
    silent: StreamAttempt | None = None
    overlap_end_seconds: float = 0.0
    unfetched_cache: PrefilledCache | None = None
    _reserved_bytes: int = 0

    def hold(self, size_bytes: int) -> None:
        """
        Reserve memory for events that are incomplete or not yet written.

        :param size_bytes: Their size; what was reserved before for larger
            ones is released.
        :raises MemoryExhausted: If there is no room for them.
        """
        excess_bytes = max(size_bytes - FREE_EVENT_BYTES, 0) * EVENT_COPIES
        if excess_bytes > self._reserved_bytes:
            self.job.reservation.grow(excess_bytes - self._reserved_bytes)
        else:
            self.job.reservation.shrink(self._reserved_bytes - excess_bytes)
        self._reserved_bytes = excess_bytes

    @property
    def has_begun(self) -> bool:
        """Tell whether the response head was sent to the caller."""
        return self.head is not None

    @property
    def silent_response(self) -> UpstreamResponse | None:
        """The open response whose engine is silent, if any."""
        return self.silent.response if self.silent is not None else None

    def drop_silent(self) -> None:
        """Cancel the attempt whose engine is silent, if there is one."""
        if self.silent is not None:
            self.silent.abort()
            self.silent = None
            self.splitter.drop_partial_event()
