"""State of a request to a plain service while it is relayed."""

from attrs import define, field, frozen

from waxwingwinch.gateway._attempts import Attempt
from waxwingwinch.gateway._job import Job, Progress
from waxwingwinch.gateway._loads import TrackedRequest
from waxwingwinch.gateway._requests import ResponseHead
from waxwingwinch.gateway._transport import PendingCall, UpstreamResponse
from waxwingwinch.gateway._upstream_calls import SentCall
from waxwingwinch.gateway._upstreams import Upstream


@frozen
class CompleteResponse:
    """
    A complete response of an upstream.

    :param head: Status and headers.
    :param body: The complete body.
    """

    head: ResponseHead
    body: bytes


@define(eq=False)
class PlainAttempt:
    """
    A request at one upstream.

    :param upstream: The upstream.
    :param tracked_request: Counts the request at the upstream.
    :param observed: What is recorded of the attempt.
    :param sent: The call; None until it was sent.
    :param running: Requests known at the upstream before it.
    """

    upstream: Upstream
    tracked_request: TrackedRequest
    observed: Attempt
    sent: SentCall | None = None
    running: int = 0

    @property
    def sent_call(self) -> SentCall:
        """The call whose response has not been received."""
        assert self.sent is not None
        return self.sent

    def abort(self) -> None:
        """Cancel the request at the upstream."""
        self.open_call.abort()
        self.tracked_request.end()

    @property
    def open_call(self) -> PendingCall:
        """The call, to be waited for beside another."""
        return self.sent_call.pending


@define(eq=False)
class OpenAnswer:
    """
    A response that is too large to be held, read in part.

    :param observed: What is recorded of the attempt that it answers.
    :param tracked_request: Counts the request at the upstream.
    :param response: The response.
    :param start: What was read of the body.
    """

    observed: Attempt
    tracked_request: TrackedRequest
    response: UpstreamResponse
    start: bytes

    @property
    def head(self) -> ResponseHead:
        """Status and headers."""
        return self.response.head

    def take_start(self) -> bytes:
        """Return what was read of the body, and hold it no longer."""
        start, self.start = self.start, b""
        return start

    def finish(self) -> None:
        """Release the connection after the complete body was read."""
        self.response.finish()
        self.tracked_request.end()

    def abort(self) -> None:
        """Cancel the request at the upstream."""
        self.response.abort()
        self.tracked_request.end()


PlainAnswer = CompleteResponse | OpenAnswer


@define(eq=False)
class PlainExchange:
    """
    State of a request while it is relayed.

    :param job: The request.
    :param progress: The attempts so far.
    :param fallback: An error response, used if there is no better one.
    :param silent: The open attempt whose upstream is silent, if any.
    :param running: Requests known at the upstream that was chosen last.
    """

    job: Job
    progress: Progress = field(factory=Progress)
    fallback: CompleteResponse | None = None
    silent: PlainAttempt | None = None
    running: int = 0

    def add_possible_execution(self, upstream: Upstream) -> None:
        """
        Record that an upstream may have executed the request.

        :param upstream: The upstream; counts once.
        """
        if upstream.upstream_id not in self.progress.excluded:
            self.progress = self.progress.with_possible_execution(upstream.upstream_id)

    def take_silent(self) -> PlainAttempt:
        """Return the attempt whose upstream is silent, which goes on."""
        attempt, self.silent = self.silent, None
        assert attempt is not None
        return attempt

    def drop_silent(self) -> None:
        """Cancel the attempt whose upstream is silent, if there is one."""
        if self.silent is not None:
            self.take_silent().abort()
